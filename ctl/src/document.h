#pragma once

#include "savory/core/config.h"
#include "settings.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// Reads a configuration document from a file. Errors are those of the file, of
// single fields, between fields, or fields that do not exist; all errors of one
// kind are returned together.
tl::expected<Configuration, std::vector<ConfigError>>
ReadDocument(const std::string& aFile);

// Makes the result that lists the errors of a file, each with file, path and
// reason.
CommandResult
MakeDocumentErrors(const std::string& aFile,
                   const std::vector<ConfigError>& aErrors);

} // namespace savory
