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
  std::string& mFault;

  // Null, and a fault, when the field is missing.
  const nlohmann::json* Find(const char* aName);
  void Fault(const std::string& aReason);
  std::string Text(const char* aName);
  std::uint64_t Unsigned(const char* aName);

  // A whole number from 0 to half the range of its type, so that sums of two
  // do not overflow.
  std::int64_t Count(const char* aName);
  bool Flag(const char* aName);

  // An empty list, and a fault, when the field is no list.
  const nlohmann::json& List(const char* aName);
};

} // namespace savory
