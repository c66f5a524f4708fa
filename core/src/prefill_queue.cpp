#include "savory/core/prefill_queue.h"

#include <algorithm>

namespace savory {

namespace {

// Peers' prompts are dropped after this time at the latest, however long their
// prefill is.
constexpr TimeMs kPeerPrefillTtlMs = 5000;

} // namespace

void
AddPrefill(PrefillQueue& aQueue, const PrefillItem& aItem)
{
  aQueue.mItems.push_back(aItem);
}

void
OnPrefillDone(PrefillQueue& aQueue, std::uint64_t aLocalId)
{
  auto found = std::find_if(
    aQueue.mItems.begin(), aQueue.mItems.end(), [aLocalId](const auto& aItem) {
      return aItem.mLocalId == aLocalId;
    });
  if (found == aQueue.mItems.end()) {
    return;
  }
  TimeMs sent = found->mSentMs;
  std::erase_if(aQueue.mItems, [&](const PrefillItem& aItem) {
    return aItem.mLocalId == aLocalId ||
           (aItem.mLocalId == 0 && aItem.mSentMs <= sent);
  });
}

void
CancelPrefill(PrefillQueue& aQueue, std::uint64_t aLocalId)
{
  std::erase_if(aQueue.mItems, [aLocalId](const PrefillItem& aItem) {
    return aItem.mLocalId == aLocalId;
  });
}

double
EstimateQueueMs(const PrefillQueue& aQueue, TimeMs aNowMs)
{
  auto now = static_cast<double>(aNowMs);
  double busyUntil = 0;
  for (const PrefillItem& item : aQueue.mItems) {
    busyUntil =
      std::max(busyUntil, static_cast<double>(item.mSentMs)) + item.mPrefillMs;
    if (item.mLocalId != 0 && busyUntil < now) {
      busyUntil = now + std::min(item.mPrefillMs, now - busyUntil);
    }
  }
  return std::max(0.0, busyUntil - now);
}

void
ExpirePeerPrefills(PrefillQueue& aQueue, TimeMs aNowMs)
{
  std::erase_if(aQueue.mItems, [aNowMs](const PrefillItem& aItem) {
    return aItem.mLocalId == 0 &&
           (aNowMs - aItem.mSentMs > kPeerPrefillTtlMs ||
            static_cast<double>(aNowMs - aItem.mSentMs) > 4 * aItem.mPrefillMs);
  });
}

} // namespace savory
