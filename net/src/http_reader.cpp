#include "savory/net/http_reader.h"

#include "savory/net/http_framing.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <event2/buffer.h>
#include <strings.h>

namespace savory {

namespace http = boost::beast::http;

namespace {

// Length of the shortest last chunk, "0" and two line ends. The parser may only
// be called again after it has read the size of the last chunk if it is given
// at least this much.
constexpr std::size_t kMinLastChunkBytes = 5;

std::string
ToText(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

HttpReadError
ToReadError(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return HttpReadError::HeaderTooLong;
  }
  if (aError == http::error::body_limit) {
    return HttpReadError::BodyTooLong;
  }
  if (aError == http::error::partial_message ||
      aError == http::error::end_of_stream) {
    return HttpReadError::Incomplete;
  }
  return HttpReadError::Malformed;
}

} // namespace

const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualHeaderNames(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

bool
EqualHeaderNames(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

struct HttpReader::Parser
{
  virtual ~Parser() = default;
  virtual tl::expected<void, HttpReadError> Feed(evbuffer* aInput) = 0;
  virtual tl::expected<void, HttpReadError> FeedEnd() = 0;
  virtual bool IsStarted() const = 0;
  virtual bool IsComplete() const = 0;
  virtual bool EndsWithConnection() const = 0;
};

// Adapts the parser of Boost.Beast to the callbacks of the reader.
template<bool IsRequest>
struct HttpReader::BeastParser final
  : HttpReader::Parser
  , http::basic_parser<IsRequest>
{
  using Base = http::basic_parser<IsRequest>;
  using Error = boost::system::error_code;
  using Text = boost::beast::string_view;

  // HTTP/1.1, as the parser numbers versions.
  static constexpr int kVersion11 = 11;

  BeastParser(HttpReader& aReader,
              const HttpReaderLimits& aLimits,
              bool aAnswersHead)
    : mReader(aReader)
    , mMaxLineBytes(aLimits.mMaxHeaderBytes)
  {
    Base::skip(aAnswersHead);
    Base::eager(true);
    Base::header_limit(aLimits.mMaxHeaderBytes);
    Base::body_limit(aLimits.mMaxBodyBytes);
  }

  tl::expected<void, HttpReadError> Feed(evbuffer* aInput) override
  {
    if (IsRequest && !Base::got_some() && !SkipEmptyLine(aInput)) {
      return {};
    }
    while (!Base::is_done()) {
      std::size_t size = evbuffer_get_length(aInput);
      if (size == 0 || (mAwaitsChunkHeader && size < kMinLastChunkBytes)) {
        return {};
      }
      mAwaitsChunkHeader = false;
      const unsigned char* bytes = evbuffer_pullup(aInput, -1);
      Error error;
      std::size_t used = Base::put(boost::asio::buffer(bytes, size), error);
      evbuffer_drain(aInput, used);
      if (error == http::error::need_more) {
        mAwaitsChunkHeader = Base::is_header_done();
        // The rest is a part of the header, of a chunk's header or of the
        // trailers, of which the parser limits only the first.
        return evbuffer_get_length(aInput) > mMaxLineBytes
                 ? tl::unexpected(HttpReadError::HeaderTooLong)
                 : tl::expected<void, HttpReadError>{};
      }
      if (error) {
        return tl::unexpected(ToReadError(error));
      }
      if (used == 0) {
        return {};
      }
    }
    return {};
  }

  tl::expected<void, HttpReadError> FeedEnd() override
  {
    if (!Base::got_some()) {
      return tl::unexpected(HttpReadError::Incomplete);
    }
    Error error;
    Base::put_eof(error);
    if (error) {
      return tl::unexpected(ToReadError(error));
    }
    return {};
  }

  bool IsStarted() const override { return Base::got_some(); }
  bool IsComplete() const override { return Base::is_done(); }
  bool EndsWithConnection() const override
  {
    return Base::is_header_done() && Base::need_eof();
  }

  void on_request_impl(http::verb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       Error&) override
  {
    mVersion = aVersion;
    mHead.mMethod = ToText(aMethod);
    mHead.mTarget = ToText(aTarget);
  }

  // The parser has accepted three digits.
  void on_response_impl(int aStatus, Text, int aVersion, Error& aError) override
  {
    if (!IsValidStatus(aStatus)) {
      aError = http::error::bad_status;
      return;
    }
    mVersion = aVersion;
    mHead.mStatus = aStatus;
  }

  // Trailers are dropped, because the head has been reported by then.
  void on_field_impl(http::field, Text aName, Text aValue, Error&) override
  {
    if (!Base::is_header_done()) {
      mHead.mHeaders.emplace_back(ToText(aName), ToText(aValue));
    }
  }

  void on_header_impl(Error& aError) override
  {
    mHead.mIsHttp10 = mVersion < kVersion11;
    if (!IsBodyEndKnown(mHead.mHeaders, { IsRequest, mHead.mIsHttp10 })) {
      aError = http::error::bad_transfer_encoding;
      return;
    }
    mHead.mKeepAlive = Base::keep_alive();
    mHead.mChunked = Base::chunked();
    if (auto length = Base::content_length()) {
      mHead.mLength = *length;
    }
    HttpHead head = std::move(mHead);
    if (mReader.mOnHead) {
      mReader.mOnHead(head);
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override
  {
  }

  std::size_t on_body_impl(Text aBody, Error&) override
  {
    return OnBodyBytes(aBody);
  }

  void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, Text aBody, Error&) override
  {
    return OnBodyBytes(aBody);
  }

  void on_finish_impl(Error&) override {}

  // Passes over one empty line before a request (RFC 9112, 2.2). Returns false
  // while there is no input to parse, or only what may be a part of that line.
  bool SkipEmptyLine(evbuffer* aInput)
  {
    char line[2];
    ev_ssize_t size = evbuffer_copyout(aInput, line, sizeof line);
    if (mEmptyLineSkipped || size <= 0 || line[0] != '\r') {
      return size > 0;
    }
    if (size == 2 && line[1] == '\n') {
      evbuffer_drain(aInput, sizeof line);
      mEmptyLineSkipped = true;
      return evbuffer_get_length(aInput) > 0;
    }
    return size == 2;
  }

  std::size_t OnBodyBytes(Text aBody)
  {
    if (mReader.mOnBody) {
      mReader.mOnBody({ aBody.data(), aBody.size() });
    }
    return aBody.size();
  }

  HttpReader& mReader;
  std::size_t mMaxLineBytes;
  // Whether the input begins with a part of a chunk's header. In every message
  // that is framed correctly, at least the last chunk follows.
  bool mAwaitsChunkHeader = false;
  bool mEmptyLineSkipped = false;
  int mVersion = 0;
  HttpHead mHead;
};

HttpReader::HttpReader(Kind aKind, HttpReaderLimits aLimits)
{
  if (aKind == Kind::Request) {
    mParser = std::make_unique<BeastParser<true>>(*this, aLimits, false);
  } else {
    mParser = std::make_unique<BeastParser<false>>(
      *this, aLimits, aKind == Kind::ResponseToHead);
  }
}

HttpReader::~HttpReader() = default;

tl::expected<void, HttpReadError>
HttpReader::Feed(evbuffer* aInput)
{
  return mParser->Feed(aInput);
}

tl::expected<void, HttpReadError>
HttpReader::FeedEnd()
{
  return mParser->FeedEnd();
}

bool
HttpReader::IsStarted() const
{
  return mParser->IsStarted();
}

bool
HttpReader::IsComplete() const
{
  return mParser->IsComplete();
}

bool
HttpReader::EndsWithConnection() const
{
  return mParser->EndsWithConnection();
}

} // namespace savory
