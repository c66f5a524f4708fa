#include "json_fields.h"

#include <limits>

namespace savory {

using nlohmann::json;

const json*
JsonFields::FindField(const char* aName)
{
  if (!mObject.is_object()) {
    SetError("must be an object");
    return nullptr;
  }
  auto found = mObject.find(aName);
  if (found == mObject.end()) {
    SetError(std::string(aName) + " is missing");
    return nullptr;
  }
  return &*found;
}

void
JsonFields::SetError(const std::string& aReason)
{
  if (mError.empty()) {
    mError = aReason;
  }
}

std::string
JsonFields::ReadString(const char* aName)
{
  const json* value = FindField(aName);
  if (value == nullptr || !value->is_string()) {
    SetError(std::string(aName) + " must be a string");
    return {};
  }
  return value->get<std::string>();
}

std::uint64_t
JsonFields::ReadUnsigned(const char* aName)
{
  const json* value = FindField(aName);
  // A non-negative integer is unsigned when it was parsed, but may be signed
  // when the value was built in memory.
  if (value == nullptr || !value->is_number_integer() ||
      (!value->is_number_unsigned() && value->get<std::int64_t>() < 0)) {
    SetError(std::string(aName) + " must be a non-negative integer");
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::int64_t
JsonFields::ReadCount(const char* aName)
{
  std::uint64_t value = ReadUnsigned(aName);
  if (value > static_cast<std::uint64_t>(
                std::numeric_limits<std::int64_t>::max() / 2)) {
    SetError(std::string(aName) + " is out of range");
    return 0;
  }
  return static_cast<std::int64_t>(value);
}

bool
JsonFields::ReadBool(const char* aName)
{
  const json* value = FindField(aName);
  if (value == nullptr || !value->is_boolean()) {
    SetError(std::string(aName) + " must be true or false");
    return false;
  }
  return value->get<bool>();
}

const json&
JsonFields::ReadArray(const char* aName)
{
  static const json kEmpty = json::array();
  const json* value = FindField(aName);
  if (value == nullptr || !value->is_array()) {
    SetError(std::string(aName) + " must be a list");
    return kEmpty;
  }
  return *value;
}

} // namespace savory
