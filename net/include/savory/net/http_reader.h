#pragma once

#include "savory/core/wire.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <tl/expected.hpp>

struct evbuffer;

namespace savory {

// The start line and headers of an HTTP/1.1 message. Header names keep the
// case that the sender used; look them up with FindHeader.
struct HttpHead
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  Headers mHeaders;
  // Whether the sender keeps the connection open after this message.
  bool mKeepAlive = false;
  bool mChunked = false;
  // The sender speaks HTTP/1.0 and knows no chunks.
  bool mIsHttp10 = false;
  std::optional<std::uint64_t> mLength;
};

// Returns the value of the first header with this name, compared without
// regard to case, or null.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

// Compares two header names or tokens without regard to ASCII case.
bool
EqualHeaderNames(std::string_view aLeft, std::string_view aRight);

// Whether a number is a status code of HTTP (RFC 9110, 15).
constexpr bool
IsValidStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

enum class HttpReadError
{
  Malformed,
  HeaderTooLong,
  BodyTooLong,
  // The connection ended within a message.
  Incomplete,
};

inline constexpr std::array<EnumName<HttpReadError>, 4> kHttpReadErrorNames{ {
  { HttpReadError::Malformed, "malformed message" },
  { HttpReadError::HeaderTooLong, "header too long" },
  { HttpReadError::BodyTooLong, "body too long" },
  { HttpReadError::Incomplete, "incomplete message" },
} };

struct HttpReaderLimits
{
  std::uint32_t mMaxHeaderBytes = 64 * 1024;
  std::uint64_t mMaxBodyBytes = 64 * 1024 * 1024;
};

// Parses one HTTP/1.1 message from a connection's input with Boost.Beast. A
// message whose end does not follow from its headers is malformed. evhttp is
// not used where answers are relayed: it cannot distinguish the regular end of
// an answer without a length from a connection reset, and it does not read
// while a reply is outstanding.
class HttpReader
{
public:
  enum class Kind
  {
    Request,
    Response,
    // A response without a body, whatever its headers say.
    ResponseToHead,
  };

  HttpReader(Kind aKind, HttpReaderLimits aLimits);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Consumes the bytes of this message and leaves the rest in the input. The
  // callbacks run from within this call and must not destroy the reader.
  tl::expected<void, HttpReadError> Feed(evbuffer* aInput);
  // Reports that the peer has closed its side of the connection regularly.
  tl::expected<void, HttpReadError> FeedEnd();

  bool IsStarted() const;
  bool IsComplete() const;
  // Whether the end of the connection marks the end of the message.
  bool EndsWithConnection() const;

  sigc::slot<void(const HttpHead&)> mOnHead;
  sigc::slot<void(std::string_view)> mOnBody;

private:
  struct Parser;
  template<bool IsRequest>
  struct BeastParser;

  std::unique_ptr<Parser> mParser;
};

} // namespace savory
