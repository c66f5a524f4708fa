#pragma once

#include "savory/core/config.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace savory {

// What stands in a document in place of the session secret when it was left
// out; an applied document with it keeps the secret in force.
inline constexpr std::string_view kSecretPlaceholder = "(unchanged)";

// The document of a configuration, with or without the session secret.
nlohmann::json
ToDocument(const Configuration& aConfig, bool aIncludeSecret);

// Applies what changed from aBase to aMine to aTheirs. Items of lists go by
// name. A field that both changed to different values keeps the value of
// aTheirs, and its path is added to aConflicts.
nlohmann::json
MergeDocuments(const nlohmann::json& aBase,
               const nlohmann::json& aMine,
               const nlohmann::json& aTheirs,
               const std::string& aPath,
               std::vector<std::string>& aConflicts);

} // namespace savory
