#pragma once

#include "savory/core/config_store.h"
#include "savory/platform/store.h"

#include <memory>

namespace savory {

// Applies a change of the configuration to the store by compare-and-swap,
// without blocking the event loop. aDone gets the change in its final state.
void
RunChange(StoreClient& aStore,
          const std::shared_ptr<Change>& aChange,
          const sigc::slot<void(const Change&)>& aDone);

} // namespace savory
