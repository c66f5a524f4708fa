#pragma once

#include "settings.h"

namespace savory {

// The commands that change the configuration. Each commits its change to the
// store and, unless --no-wait is given, waits until every host has it.
CommandResult
InitCommand(const CtlSettings& aSettings);
CommandResult
ApplyCommand(const CtlSettings& aSettings);
CommandResult
PresetCommand(const CtlSettings& aSettings);
// version add|withdraw|drain|serve
CommandResult
VersionCommand(const CtlSettings& aSettings);
// rollout start|continue|undo|stop
CommandResult
RolloutChangeCommand(const CtlSettings& aSettings);
// zone out|in
CommandResult
ZoneCommand(const CtlSettings& aSettings);
// customer add|remove|allow|deny
CommandResult
CustomerCommand(const CtlSettings& aSettings);

} // namespace savory
