#include "merge.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

// Returns the name that identifies a list item, or null. Roll-outs are
// identified by their model.
const json*
ItemName(const json& aItem)
{
  for (const char* field : { "name", "model" }) {
    auto found = aItem.is_object() ? aItem.find(field) : aItem.end();
    if (found != aItem.end() && found->is_string()) {
      return &*found;
    }
  }
  return nullptr;
}

bool
IsNamedList(const json& aValue)
{
  return aValue.is_array() &&
         std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
           return ItemName(aItem) != nullptr;
         });
}

// Returns the list item with a name, or JSON null.
json
FindNamedItem(const json& aList, const json& aName)
{
  for (const auto& item : aList) {
    if (*ItemName(item) == aName) {
      return item;
    }
  }
  return {};
}

json
MergeLists(const json& aBase,
           const json& aMine,
           const json& aTheirs,
           const std::string& aPath,
           std::vector<std::string>& aConflicts)
{
  // The items of aTheirs in their order, then those only in aMine.
  std::vector<json> names;
  for (const json* list : { &aTheirs, &aMine }) {
    for (const auto& item : *list) {
      const json& name = *ItemName(item);
      if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
      }
    }
  }
  json result = json::array();
  for (const auto& name : names) {
    json item = MergeDocuments(FindNamedItem(aBase, name),
                               FindNamedItem(aMine, name),
                               FindNamedItem(aTheirs, name),
                               aPath + "[" + name.get<std::string>() + "]",
                               aConflicts);
    if (!item.is_null()) {
      result.push_back(std::move(item));
    }
  }
  return result;
}

json
FindMember(const json& aObject, const std::string& aName)
{
  auto found = aObject.find(aName);
  return found == aObject.end() ? json() : *found;
}

} // namespace

json
ToDocument(const Configuration& aConfig, bool aIncludeSecret)
{
  json document = ToJson(aConfig);
  if (!aIncludeSecret) {
    document["session_secret"] = kSecretPlaceholder;
  }
  return document;
}

json
MergeDocuments(const json& aBase,
               const json& aMine,
               const json& aTheirs,
               const std::string& aPath,
               std::vector<std::string>& aConflicts)
{
  if (aMine == aBase || aMine == aTheirs) {
    return aTheirs;
  }
  if (aTheirs == aBase) {
    return aMine;
  }
  if (IsNamedList(aBase) && IsNamedList(aMine) && IsNamedList(aTheirs)) {
    return MergeLists(aBase, aMine, aTheirs, aPath, aConflicts);
  }
  if (!aBase.is_object() || !aMine.is_object() || !aTheirs.is_object()) {
    aConflicts.push_back(aPath);
    return aTheirs;
  }
  json result = json::object();
  json fields = aTheirs;
  fields.update(aMine);
  for (const auto& [name, unused] : fields.items()) {
    json value = MergeDocuments(FindMember(aBase, name),
                                FindMember(aMine, name),
                                FindMember(aTheirs, name),
                                aPath.empty() ? name : aPath + "." + name,
                                aConflicts);
    if (!value.is_null()) {
      result[name] = std::move(value);
    }
  }
  return result;
}

} // namespace savory
