#include "savory/net/http_framing.h"
#include "savory/net/http_reader.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <memory>
#include <rapidcheck/boost_test.h>

using namespace savory;

namespace {

using Kind = HttpReader::Kind;
using Input = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

// What a reader reported of one message.
struct Reading
{
  int mHeads = 0;
  HttpHead mHead;
  std::string mBody;
  bool mComplete = false;
  std::optional<HttpReadError> mError;
  // The bytes after the message.
  std::string mRest;

  bool operator==(const Reading& aOther) const
  {
    return mHeads == aOther.mHeads && mHead.mStatus == aOther.mHead.mStatus &&
           mHead.mHeaders == aOther.mHead.mHeaders && mBody == aOther.mBody &&
           mComplete == aOther.mComplete && mError == aOther.mError &&
           (mError || mRest == aOther.mRest);
  }
};

// Feeds the pieces one after another, as they arrive on a connection that is
// closed regularly after them if aCloses is set.
Reading
Read(Kind aKind, const std::vector<std::string_view>& aPieces, bool aCloses)
{
  Reading reading;
  HttpReader reader(aKind, { 4096, 1 << 20 });
  reader.mOnHead = [&](const HttpHead& aHead) {
    ++reading.mHeads;
    reading.mHead = aHead;
  };
  reader.mOnBody = [&](std::string_view aBytes) { reading.mBody += aBytes; };
  Input input(evbuffer_new(), evbuffer_free);
  for (std::string_view piece : aPieces) {
    evbuffer_add(input.get(), piece.data(), piece.size());
    if (reading.mError || reader.IsComplete()) {
      continue;
    }
    if (auto fed = reader.Feed(input.get()); !fed) {
      reading.mError = fed.error();
    }
  }
  if (aCloses && !reading.mError && !reader.IsComplete()) {
    if (auto ended = reader.FeedEnd(); !ended) {
      reading.mError = ended.error();
    }
  }
  reading.mComplete = !reading.mError && reader.IsComplete();
  reading.mRest.resize(evbuffer_get_length(input.get()));
  evbuffer_remove(input.get(), reading.mRest.data(), reading.mRest.size());
  return reading;
}

struct MessageRow
{
  std::string_view mName;
  Kind mKind;
  std::string mBytes;
  // What a reader that gets all at once reports.
  std::optional<HttpReadError> mError;
  std::string_view mBody;
  std::string_view mRest = {};
};

const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string kChunkedPost = kPost + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n";
const std::string kChunkedOk = kOk + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<MessageRow> kMessages{
  { "request without body", Kind::Request, kPost + "\r\n", {}, "" },
  { "request with length",
    Kind::Request,
    kPost + "Content-Length: 3\r\n\r\nabcPOST /b",
    {},
    "abc",
    "POST /b" },
  { "empty chunked request",
    Kind::Request,
    kChunkedPost + "0\r\n\r\n",
    {},
    "" },
  { "empty chunked request and a next one",
    Kind::Request,
    kChunkedPost + "0\r\n\r\nGET",
    {},
    "",
    "GET" },
  { "empty chunked request with extension",
    Kind::Request,
    kChunkedPost + "0;a=b\r\n\r\n",
    {},
    "" },
  { "empty chunked request with trailers",
    Kind::Request,
    kChunkedPost + "000\r\nA: b\r\nC: d\r\n e\r\n\r\n",
    {},
    "" },
  { "chunked request",
    Kind::Request,
    kChunkedPost + "1\r\na\r\n3;x\r\nbcd\r\n0\r\n\r\n",
    {},
    "abcd" },
  { "empty chunked answer", Kind::Response, kChunkedOk + "0\r\n\r\n", {}, "" },
  { "empty chunked answer and a next one",
    Kind::Response,
    kChunkedOk + "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    {},
    "",
    "HTTP/1.1 200 OK\r\n\r\n" },
  { "chunked answer with trailers",
    Kind::Response,
    kChunkedOk + "2\r\nab\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
    {},
    "ab0123456789" },
  { "answer until the end", Kind::Response, kOk + "\r\nabc", {}, "abc" },
  { "answer without body",
    Kind::Response,
    "HTTP/1.1 204 No Content\r\n\r\n0\r\n\r\n",
    {},
    "",
    "0\r\n\r\n" },
  { "interim answer",
    Kind::Response,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200",
    {},
    "",
    "HTTP/1.1 200" },
  { "chunk size without digits",
    Kind::Request,
    kChunkedPost + "xyz\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "bytes after the last chunk's size",
    Kind::Request,
    kChunkedPost + "0 x\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "trailer without colon",
    Kind::Response,
    kChunkedOk + "0\r\nab\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "chunk that is longer than its size",
    Kind::Response,
    kChunkedOk + "1\r\nabc\r\n0\r\n\r\n",
    HttpReadError::Malformed,
    "a" },
  { "last chunk that breaks off",
    Kind::Response,
    kChunkedOk + "1\r\na\r\n0\r\n\r",
    HttpReadError::Incomplete,
    "a" },
  { "empty body that breaks off",
    Kind::Response,
    kChunkedOk + "0\r\n\r",
    HttpReadError::Incomplete,
    "" },
  { "request with an unknown coding",
    Kind::Request,
    kPost + "Transfer-Encoding: gzip\r\n\r\nPOST /b HTTP/1.1\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "request with the coding identity",
    Kind::Request,
    kPost + "Transfer-Encoding: identity\r\n\r\nPOST /b HTTP/1.1\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "request with two codings",
    Kind::Request,
    kPost + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "request with codings in two headers",
    Kind::Request,
    kPost + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "request in chunks that end before their last coding",
    Kind::Request,
    kPost + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "request with an unknown coding and a length",
    Kind::Request,
    kPost + "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
    HttpReadError::Malformed,
    "" },
  { "request of an older version in chunks",
    Kind::Request,
    "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HttpReadError::Malformed,
    "" },
  { "answer with an unknown coding",
    Kind::Response,
    kOk + "Transfer-Encoding: gzip\r\n\r\nabc",
    HttpReadError::Malformed,
    "" },
  { "answer with an unknown coding and a length",
    Kind::Response,
    kOk + "Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc",
    HttpReadError::Malformed,
    "" },
  { "answer with the coding identity",
    Kind::Response,
    kOk + "Transfer-Encoding: identity\r\n\r\nabc",
    {},
    "abc" },
  { "answer to a request for the head",
    Kind::ResponseToHead,
    kOk + "Content-Length: 3\r\n\r\nHTTP/1.1 200",
    {},
    "",
    "HTTP/1.1 200" },
  { "empty line before a request",
    Kind::Request,
    "\r\n" + kPost + "\r\n",
    {},
    "" },
  { "two empty lines before a request",
    Kind::Request,
    "\r\n\r\n" + kPost + "\r\n",
    HttpReadError::Malformed,
    "" },
  { "length and chunks",
    Kind::Request,
    kPost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HttpReadError::Malformed,
    "" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_reader)

// Guards against a reader that takes a body for the next message, or the next
// message for a body, in whatever library it uses.
BOOST_AUTO_TEST_CASE(body_end_follows_from_one_header_only)
{
  using Values = std::vector<std::string>;
  for (const Values& lengths : { Values{},
                                 Values{ "3" },
                                 Values{ "3", "3" },
                                 Values{ "3", "4" },
                                 Values{ "" },
                                 Values{ "+3" },
                                 Values{ "3, 3" },
                                 Values{ "0x3" } }) {
    for (const Values& codings : { Values{},
                                   Values{ "chunked" },
                                   Values{ "Chunked" },
                                   Values{ "gzip" },
                                   Values{ "identity" },
                                   Values{ "gzip, chunked" },
                                   Values{ "chunked", "chunked" },
                                   Values{ "gzip", "chunked" } }) {
      Headers headers;
      for (const std::string& value : lengths) {
        headers.emplace_back("content-length", value);
      }
      for (const std::string& value : codings) {
        headers.emplace_back("TRANSFER-ENCODING", value);
      }
      bool isLengthKnown = lengths.empty() || lengths == Values{ "3" } ||
                           lengths == Values{ "3", "3" };
      bool isChunked =
        codings == Values{ "chunked" } || codings == Values{ "Chunked" };
      for (unsigned bits = 0; bits < 4; ++bits) {
        FramingFacts facts{ (bits & 1) != 0, (bits & 2) != 0 };
        bool isCodingKnown =
          !facts.mIsHttp10 &&
          (isChunked || (!facts.mIsRequest && codings == Values{ "identity" }));
        bool expected =
          codings.empty() ? isLengthKnown : lengths.empty() && isCodingKnown;
        BOOST_TEST(IsBodyEndKnown(headers, facts) == expected);
      }
    }
  }
}

// Guards against an abort of the process, and against another result, when a
// message arrives in pieces.
BOOST_AUTO_TEST_CASE(messages_in_pieces_read_as_at_once)
{
  for (const MessageRow& row : kMessages) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      std::string_view bytes = row.mBytes;
      Reading whole = Read(row.mKind, { bytes }, true);
      BOOST_TEST((whole.mError == row.mError));
      BOOST_TEST(whole.mBody == row.mBody);
      BOOST_TEST(whole.mComplete == !row.mError);
      if (!row.mError) {
        BOOST_TEST(whole.mRest == row.mRest);
      }
      std::vector<std::string_view> single;
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        single.push_back(bytes.substr(i, 1));
      }
      BOOST_TEST((Read(row.mKind, single, true) == whole));
      for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); ++second) {
          std::vector<std::string_view> pieces{ bytes.substr(0, first),
                                                bytes.substr(first,
                                                             second - first),
                                                bytes.substr(second) };
          BOOST_TEST((Read(row.mKind, pieces, true) == whole),
                     "cut at " << first << " and " << second);
        }
      }
    }
  }
}

// Guards against the same for messages that are not correct: bytes of the table
// changed, cut out and repeated. The fault of one that breaks off may be found
// before its end or only there.
RC_BOOST_PROP(changed_messages_in_pieces_read_as_at_once, ())
{
  const MessageRow& row = *rc::gen::elementOf(kMessages);
  std::string bytes = row.mBytes;
  int edits = *rc::gen::inRange(0, 5);
  for (int i = 0; i < edits; ++i) {
    auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    auto size = *rc::gen::inRange<std::size_t>(1, 9);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        bytes[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        bytes[at] = *rc::gen::element('\r', '\n', ' ', ':', '0', 'f', ';');
        break;
      case 2:
        bytes.erase(at, size);
        break;
      default:
        bytes.insert(at, bytes.substr(at, size));
        break;
    }
    bytes += bytes.empty() ? "x" : "";
  }
  Reading whole = Read(row.mKind, { bytes }, true);
  std::vector<std::string_view> pieces;
  for (std::string_view rest = bytes; !rest.empty();) {
    auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
    size = std::min(size, *rc::gen::inRange<std::size_t>(1, 12));
    pieces.push_back(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  Reading inPieces = Read(row.mKind, pieces, true);
  RC_ASSERT((whole.mError && inPieces.mError) || inPieces == whole);
}

// Guards against data that is withheld until the next bytes arrive.
BOOST_AUTO_TEST_CASE(bytes_of_a_chunk_are_reported_at_once)
{
  std::string message = kChunkedOk + "5\r\nabcde";
  for (std::size_t arrived = 1; arrived <= 5; ++arrived) {
    std::string_view bytes(message);
    bytes.remove_suffix(5 - arrived);
    Reading reading = Read(
      Kind::Response,
      { bytes.substr(0, bytes.size() - 1), bytes.substr(bytes.size() - 1) },
      false);
    BOOST_TEST(reading.mBody == std::string_view("abcde").substr(0, arrived));
  }
}

BOOST_AUTO_TEST_SUITE_END()
