#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace savory {

// Reads the fields of one object and remembers the first fault in a text that
// belongs to the whole document.
struct JsonFields
{
  const nlohmann::json& mObject;
  std::string& mError;

  // Null, and a fault, when the field is missing.
  const nlohmann::json* FindField(const char* aName);
  void SetError(const std::string& aReason);
  std::string ReadString(const char* aName);
  std::uint64_t ReadUnsigned(const char* aName);

  // A whole number from 0 to half the range of its type, so that sums of two
  // do not overflow.
  std::int64_t ReadCount(const char* aName);
  bool ReadBool(const char* aName);

  // An empty list, and a fault, when the field is no list.
  const nlohmann::json& ReadArray(const char* aName);
};

} // namespace savory
