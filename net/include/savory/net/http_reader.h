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
// spelling of the sender; look them up with FindHeader.
struct HttpHead
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  Headers mHeaders;
  // Whether the sender keeps the connection open after this message.
  bool mKeepAlive = false;
  bool mChunked = false;
  std::optional<std::uint64_t> mLength;
};

// The value of a header, without regard to case, or nothing.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

// Whether two header names are the same without regard to case.
bool
EqualHeaderNames(std::string_view aLeft, std::string_view aRight);

enum class HttpReadError
{
  Malformed,
  HeaderTooLong,
  BodyTooLong,
  // The connection ended inside a message.
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

// Reads one HTTP/1.1 message from a connection's input, with the parser of
// Boost.Beast, which rejects ambiguous framing. evhttp is not used where
// answers are relayed: it cannot tell a clean end of an answer without length
// from a reset, nor read while a reply is outstanding.
class HttpReader
{
public:
  enum class Kind
  {
    Request,
    Response,
  };

  HttpReader(Kind aKind, HttpReaderLimits aLimits);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Consumes what belongs to this message and leaves the rest. Slots run from
  // here and must not destroy the reader.
  tl::expected<void, HttpReadError> Feed(evbuffer* aInput);
  // The peer closed its side in good order.
  tl::expected<void, HttpReadError> FeedEnd();

  bool IsStarted() const;
  bool IsComplete() const;
  // Whether the message ends with its connection.
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
