#pragma once

#include <cstddef>
#include <string_view>

namespace savory {

// Whether arrays and objects of a JSON text are nested deeper than aMaxDepth.
// The JSON library parses any depth, but copies and writes documents
// recursively and would exhaust the stack.
bool
IsNestedDeeper(std::string_view aJson, std::size_t aMaxDepth);

} // namespace savory
