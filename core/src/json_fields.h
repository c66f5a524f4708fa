#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace savory {

// Reads the fields of a JSON object. The first error of the whole document is
// kept in `mError`, which the readers of its objects share.
struct JsonFields
{
  const nlohmann::json& mObject;
  std::string& mError;

  // Null, and an error, when the field is missing.
  const nlohmann::json* FindField(const char* aName);
  void SetError(const std::string& aReason);
  std::string ReadString(const char* aName);
  std::uint64_t ReadUnsigned(const char* aName);

  // An integer from 0 to half the maximum of its type, so that the sum of two
  // does not overflow.
  std::int64_t ReadCount(const char* aName);
  bool ReadBool(const char* aName);

  // An empty array, and an error, when the field is not an array.
  const nlohmann::json& ReadArray(const char* aName);
};

} // namespace savory
