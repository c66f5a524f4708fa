#include "savory/net/http_framing.h"

#include "savory/net/http_reader.h"

namespace savory {

bool
IsBodyEndKnown(const Headers& aHeaders, const FramingFacts& aFacts)
{
  int codings = 0;
  bool isChunked = false;
  std::string_view length;
  for (const auto& [name, value] : aHeaders) {
    if (EqualHeaderNames(name, "Transfer-Encoding")) {
      ++codings;
      isChunked = EqualHeaderNames(value, "chunked");
      // An answer without a coding ends with its connection.
      if (!isChunked &&
          (aFacts.mIsRequest || !EqualHeaderNames(value, "identity"))) {
        return false;
      }
    } else if (EqualHeaderNames(name, "Content-Length")) {
      if (value.empty() || (!length.empty() && value != length) ||
          value.find_first_not_of("0123456789") != std::string::npos) {
        return false;
      }
      length = value;
    }
  }
  return codings == 0 || (codings == 1 && length.empty() && !aFacts.mIsHttp10);
}

} // namespace savory
