#include "cbor.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace savory {

namespace {

using Json = nlohmann::json;

// The major types of RFC 8949, 3.1, in the upper three bits of a head.
enum class CborType
{
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
};

// The head of an item: its type, and its value, length or number of elements.
struct CborHead
{
  CborType mType;
  std::uint64_t mArgument;
};

// Reads a head and removes it from aBytes. Empty if it is cut off, or if it
// does not state the argument.
std::optional<CborHead>
ExtractHead(std::string_view& aBytes)
{
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kInfoMask = 0x1f;
  // From here on the argument takes 1, 2, 4 or 8 bytes.
  constexpr unsigned kFirstLong = 24;
  constexpr unsigned kLastLong = 27;
  if (aBytes.empty()) {
    return std::nullopt;
  }
  auto first = static_cast<unsigned char>(aBytes.front());
  aBytes.remove_prefix(1);
  CborHead head{ static_cast<CborType>(first >> kTypeShift),
                 first & kInfoMask };
  if (head.mArgument < kFirstLong) {
    return head;
  }
  std::size_t size = std::size_t{ 1 } << (head.mArgument - kFirstLong);
  if (head.mArgument > kLastLong || size > aBytes.size()) {
    return std::nullopt;
  }
  head.mArgument = 0;
  for (char byte : aBytes.substr(0, size)) {
    head.mArgument = head.mArgument << 8 | static_cast<unsigned char>(byte);
  }
  aBytes.remove_prefix(size);
  return head;
}

// Returns what keeps a document from being decoded safely, or null.
const char*
FindFault(std::string_view aBytes)
{
  // Items that are left in each open array or map.
  std::vector<std::uint64_t> open;
  do {
    auto head = ExtractHead(aBytes);
    if (!head || head->mType == CborType::Tag) {
      return "cut off, or an item that is not supported";
    }
    bool isContainer =
      head->mType == CborType::Array || head->mType == CborType::Map;
    bool isString =
      head->mType == CborType::Bytes || head->mType == CborType::Text;
    if ((isContainer || isString) && head->mArgument > aBytes.size()) {
      return "a length beyond the end";
    }
    if (isString) {
      aBytes.remove_prefix(head->mArgument);
    }
    if (isContainer && head->mArgument > 0) {
      open.push_back(head->mArgument * (head->mType == CborType::Map ? 2 : 1));
      if (open.size() > kMaxCborDepth) {
        return "nested too deeply";
      }
      continue;
    }
    while (!open.empty() && --open.back() == 0) {
      open.pop_back();
    }
  } while (!open.empty());
  return nullptr;
}

} // namespace

tl::expected<Json, std::string>
DecodeCbor(std::string_view aBytes)
{
  if (const char* fault = FindFault(aBytes)) {
    return tl::unexpected(std::string(fault));
  }
  try {
    return Json::from_cbor(aBytes.begin(), aBytes.end());
  } catch (const Json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

} // namespace savory
