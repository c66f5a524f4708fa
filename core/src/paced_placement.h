#pragma once

#include "savory/core/runners.h"

#include <vector>

namespace savory {

// A runner that may take a request of a paced service.
struct PacedRunner
{
  const RunnerState* mState = nullptr;
  Affinity mAffinity = Affinity::Other;
  // Costs of failures and zones in milliseconds of waiting.
  double mExtraMs = 0;
};

// Chooses one of at least one runner by prefix caches, speeds and batches.
Placement
PlacePaced(const RunnerSet& aSet,
           const ServiceInfo* aService,
           const PlacementRequest& aRequest,
           const std::vector<PacedRunner>& aRunners,
           TimeMs aNowMs);

} // namespace savory
