#include "savory/core/beacon.h"

#include <algorithm>

namespace savory {

namespace {

// Largest part of a beacon that prefill reports take, in bytes.
constexpr std::size_t kMaxPrefillBytes = kMaxPeerDatagramBytes / 2;

} // namespace

void
AddPrefillReports(PeerMessage& aMessage, RunnerSet& aSet, BeaconCursor& aCursor)
{
  auto& runners = aSet.mRunners;
  auto next = runners.upper_bound(aCursor.mRunner);
  std::size_t bytes = 0;
  for (std::size_t visited = 0; visited < runners.size(); ++visited, ++next) {
    if (next == runners.end()) {
      next = runners.begin();
    }
    auto& [id, runner] = *next;
    if (runner.mUnreportedPrefillMs <= 0 && runner.mUnreportedParts.empty()) {
      continue;
    }
    PeerMessage::PrefillReport report{ runner.mUnreportedPrefillMs,
                                       runner.mUnreportedParts };
    bytes += EncodedPrefillBytes(id, report);
    if (bytes > kMaxPrefillBytes) {
      return;
    }
    runner.mUnreportedPrefillMs = 0;
    runner.mUnreportedParts.clear();
    aMessage.mPrefills.emplace(id, std::move(report));
    aCursor.mRunner = id;
  }
}

} // namespace savory
