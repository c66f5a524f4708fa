#pragma once

#include "settings.h"

namespace savory {

// Settles the bills in the store and reports the totals of each customer, or of
// one. A batch that cannot be parsed is reported and left out.
CommandResult
BillsCommand(const CtlSettings& aSettings);

} // namespace savory
