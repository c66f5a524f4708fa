#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace savory {

// Documents of the router are nested less deeply than this.
inline constexpr std::size_t kMaxCborDepth = 64;

// Decodes a CBOR document of another process, or returns what is wrong with it.
// The structure is checked first, as the library decodes recursively and would
// exhaust the stack: documents that are nested too deeply, and items without a
// stated length and tags, which the router never writes, are refused.
tl::expected<nlohmann::json, std::string>
DecodeCbor(std::string_view aBytes);

} // namespace savory
