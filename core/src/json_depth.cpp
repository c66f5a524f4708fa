#include "savory/core/json_depth.h"

namespace savory {

bool
IsNestedDeeper(std::string_view aJson, std::size_t aMaxDepth)
{
  std::size_t depth = 0;
  bool isText = false;
  for (std::size_t i = 0; i < aJson.size(); ++i) {
    char byte = aJson[i];
    if (byte == '"') {
      isText = !isText;
    } else if (isText) {
      // Skips the character after a backslash.
      i += byte == '\\';
    } else if (byte == '[' || byte == '{') {
      if (++depth > aMaxDepth) {
        return true;
      }
    } else if (depth > 0 && (byte == ']' || byte == '}')) {
      --depth;
    }
  }
  return false;
}

} // namespace savory
