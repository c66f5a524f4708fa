#include "document.h"

#include "exit_codes.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

namespace {

// Adds an error for each field of a document that is missing from its parsed
// configuration when that is serialized again. Otherwise a misspelt optional
// field would be dropped silently and its default be in force.
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
  std::vector<ConfigError> errors;
  FindUnknownFields(document, ToJson(*config), "", errors);
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
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
  for (const auto& error : aErrors) {
    std::string path = error.mPath.empty() ? "(document)" : error.mPath;
    result.mText.append(aFile)
      .append(": ")
      .append(path)
      .append(": ")
      .append(error.mReason)
      .append("\n");
    list.push_back({ { "file", aFile },
                     { "path", error.mPath },
                     { "reason", error.mReason } });
  }
  result.mJson = { { "outcome", "refused" }, { "faults", list } };
  return result;
}

} // namespace savory
