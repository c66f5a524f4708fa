#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace savory {

// Values that are longer are neither compressed nor restored; the platform's
// store takes up to 1 MiB.
inline constexpr std::size_t kMaxDeltaValueBytes =
  std::size_t{ 8 } * 1024 * 1024;

// Compresses a value with an earlier one as the dictionary: a Zstandard frame
// with a checksum. Returns nothing if a value is too long.
std::optional<std::string>
MakeValueDelta(std::string_view aBase, std::string_view aValue);

// Restores the value from the same base. Returns nothing for malformed bytes,
// another base or a value that is too long.
std::optional<std::string>
ApplyValueDelta(std::string_view aBase, std::string_view aDelta);

} // namespace savory
