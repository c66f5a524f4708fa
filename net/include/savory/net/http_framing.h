#pragma once

#include "savory/core/wire.h"

namespace savory {

// The part of a message's start line that its framing depends on.
struct FramingFacts
{
  bool mIsRequest = false;
  // The sender speaks HTTP/1.0, which knows no transfer codings.
  bool mIsHttp10 = false;
};

// Whether the end of the message's body follows from its headers (RFC 9112,
// 6.3): from one length, or from chunks, but not from both, and from no other
// coding. An answer may also end with its connection. What does not follow must
// be refused, and nothing behind the headers is read as a message: the HTTP
// libraries go on as if a header that they do not know were missing.
bool
IsBodyEndKnown(const Headers& aHeaders, const FramingFacts& aFacts);

} // namespace savory
