#include "savory/core/beacon.h"

#include <algorithm>

namespace savory {

namespace {

// Largest part of a beacon that prefill reports take, in bytes.
constexpr std::size_t kMaxPrefillBytes = kMaxPeerDatagramBytes / 2;

// Largest number of suspects in a beacon. With all their crashes they take less
// than a quarter of it.
constexpr std::size_t kMaxSuspectRows = 16;

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

void
AddSuspects(PeerMessage& aMessage,
            const Quarantine& aQuarantine,
            BeaconCursor& aCursor,
            TimeMs aNowMs)
{
  std::vector<SuspectRow> rows = MakeSuspectRows(aQuarantine, aNowMs);
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mFingerprint < aRight.mFingerprint;
    });
  auto first =
    std::find_if(rows.begin(), rows.end(), [&aCursor](const SuspectRow& aRow) {
      return aRow.mFingerprint > aCursor.mSuspect;
    });
  std::rotate(rows.begin(), first, rows.end());
  if (rows.size() > kMaxSuspectRows) {
    rows.resize(kMaxSuspectRows);
  }
  aCursor.mSuspect = rows.empty() ? 0 : rows.back().mFingerprint;
  aMessage.mSuspects = std::move(rows);
}

} // namespace savory
