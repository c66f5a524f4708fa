#pragma once

#include "savory/core/config.h"
#include "settings.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// Reads a configuration document from a file. All faults are found at once:
// of the file, of the fields, between fields, and fields that do not exist.
tl::expected<Configuration, std::vector<ConfigError>>
ReadDocument(const std::string& aFile);

// The result that lists the faults of a file, each with file, path and reason.
CommandResult
MakeDocumentErrors(const std::string& aFile,
                   const std::vector<ConfigError>& aErrors);

} // namespace savory
