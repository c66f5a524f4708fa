#pragma once

#include "settings.h"

namespace savory {

// Settles the bills in the store and shows the sums of each customer, or of
// one. A batch that cannot be read is named and left out.
CommandResult
BillsCommand(const CtlSettings& aSettings);

} // namespace savory
