#pragma once

#include "savory/core/config.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace savory {

// Placeholder for the session secret in a printed document. Applying a document
// with this value keeps the secret in force.
inline constexpr std::string_view kSecretPlaceholder = "(unchanged)";

// Serializes a configuration, with or without the session secret.
nlohmann::json
ToDocument(const Configuration& aConfig, bool aIncludeSecret);

// Three-way merge: applies the changes from aBase to aMine to aTheirs. List
// items are matched by name. A field that both sides changed to different
// values keeps the value of aTheirs, and its path is added to aConflicts.
nlohmann::json
MergeDocuments(const nlohmann::json& aBase,
               const nlohmann::json& aMine,
               const nlohmann::json& aTheirs,
               const std::string& aPath,
               std::vector<std::string>& aConflicts);

} // namespace savory
