#include "document.h"

#include "exit_codes.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

// Adds a fault for each field of a document that its configuration, written
// back, does not have: a misspelt optional field would else be dropped without
// a word and its default be in force.
void
FindUnknownFields(const json& aDocument,
                  const json& aKnown,
                  const std::string& aPath,
                  std::vector<ConfigError>& aErrors)
{
  if (aDocument.is_array() && aKnown.is_array()) {
    for (std::size_t i = 0; i < aDocument.size() && i < aKnown.size(); ++i) {
      FindUnknownFields(aDocument[i],
                        aKnown[i],
                        aPath + "[" + std::to_string(i) + "]",
                        aErrors);
    }
  }
  if (!aDocument.is_object() || !aKnown.is_object()) {
    return;
  }
  for (const auto& [name, value] : aDocument.items()) {
    std::string path = aPath.empty() ? name : aPath + "." + name;
    if (aKnown.contains(name)) {
      FindUnknownFields(value, aKnown[name], path, aErrors);
    } else {
      aErrors.push_back({ path, "is not a field of a configuration" });
    }
  }
}

} // namespace

tl::expected<Configuration, std::vector<ConfigError>>
ReadDocument(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    return tl::unexpected(
      std::vector<ConfigError>{ { "", "cannot be opened" } });
  }
  json document;
  try {
    document = json::parse(file);
  } catch (const json::exception& error) {
    return tl::unexpected(std::vector<ConfigError>{ { "", error.what() } });
  }
  auto config = ParseConfiguration(document);
  if (!config) {
    return config;
  }
  std::vector<ConfigError> faults;
  FindUnknownFields(document, ToJson(*config), "", faults);
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return config;
}

CommandResult
MakeDocumentErrors(const std::string& aFile,
                   const std::vector<ConfigError>& aErrors)
{
  CommandResult result;
  result.mExitCode = kExitRefused;
  json list = json::array();
  for (const auto& fault : aErrors) {
    std::string path = fault.mPath.empty() ? "(document)" : fault.mPath;
    result.mText.append(aFile)
      .append(": ")
      .append(path)
      .append(": ")
      .append(fault.mReason)
      .append("\n");
    list.push_back({ { "file", aFile },
                     { "path", fault.mPath },
                     { "reason", fault.mReason } });
  }
  result.mJson = { { "outcome", "refused" }, { "faults", list } };
  return result;
}

} // namespace savory
