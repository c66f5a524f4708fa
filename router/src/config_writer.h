#pragma once

#include "savory/core/config_store.h"
#include "savory/platform/store.h"

#include <memory>

namespace savory {

// Takes a change of the configuration through the store by compare-and-swap,
// without blocking the loop. The slot gets the change once it has ended.
void
RunChange(StoreClient& aStore,
          const std::shared_ptr<Change>& aChange,
          const sigc::slot<void(const Change&)>& aDone);

} // namespace savory
