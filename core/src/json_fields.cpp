#include "json_fields.h"

#include <limits>

namespace savory {

using nlohmann::json;

const json*
JsonFields::Find(const char* aName)
{
  if (!mObject.is_object()) {
    Fault("not an object");
    return nullptr;
  }
  auto found = mObject.find(aName);
  if (found == mObject.end()) {
    Fault(std::string(aName) + " is missing");
    return nullptr;
  }
  return &*found;
}

void
JsonFields::Fault(const std::string& aReason)
{
  if (mFault.empty()) {
    mFault = aReason;
  }
}

std::string
JsonFields::Text(const char* aName)
{
  const json* value = Find(aName);
  if (value == nullptr || !value->is_string()) {
    Fault(std::string(aName) + " must be a string");
    return {};
  }
  return value->get<std::string>();
}

std::uint64_t
JsonFields::Unsigned(const char* aName)
{
  const json* value = Find(aName);
  // A value built in memory is a signed number where a parsed one is not.
  if (value == nullptr || !value->is_number_integer() ||
      (!value->is_number_unsigned() && value->get<std::int64_t>() < 0)) {
    Fault(std::string(aName) + " must be a non-negative integer");
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::int64_t
JsonFields::Count(const char* aName)
{
  std::uint64_t value = Unsigned(aName);
  if (value > static_cast<std::uint64_t>(
                std::numeric_limits<std::int64_t>::max() / 2)) {
    Fault(std::string(aName) + " is out of range");
    return 0;
  }
  return static_cast<std::int64_t>(value);
}

bool
JsonFields::Flag(const char* aName)
{
  const json* value = Find(aName);
  if (value == nullptr || !value->is_boolean()) {
    Fault(std::string(aName) + " must be true or false");
    return false;
  }
  return value->get<bool>();
}

const json&
JsonFields::List(const char* aName)
{
  static const json kEmpty = json::array();
  const json* value = Find(aName);
  if (value == nullptr || !value->is_array()) {
    Fault(std::string(aName) + " must be a list");
    return kEmpty;
  }
  return *value;
}

} // namespace savory
