#pragma once

#include "settings.h"

namespace savory {

// The commands that change nothing.
CommandResult
CheckCommand(const CtlSettings& aSettings);
CommandResult
ShowCommand(const CtlSettings& aSettings);
CommandResult
DiffCommand(const CtlSettings& aSettings);
CommandResult
StateCommand(const CtlSettings& aSettings);
CommandResult
ExplainCommand(const CtlSettings& aSettings);
// Shows what the store holds for the key of a non-idempotent call.
CommandResult
RecordCommand(const CtlSettings& aSettings);

} // namespace savory
