#include "savory/core/prefill_queue.h"

#include <algorithm>

namespace savory {

namespace {

// Peers' prompts are dropped after this time at the latest, however long the
// queue is: callers have given up by then.
constexpr TimeMs kPeerPrefillTtlMs = 15000;

// When the engine is done with an item after the items before it.
double
DoneMs(double aBeforeMs, const PrefillItem& aItem, TimeMs aNowMs)
{
  auto now = static_cast<double>(aNowMs);
  double done =
    std::max(aBeforeMs, static_cast<double>(aItem.mSentMs)) + aItem.mPrefillMs;
  return aItem.mLocalId != 0 && done < now
           ? now + std::min(aItem.mPrefillMs, now - done)
           : done;
}

} // namespace

void
AddPrefill(PrefillQueue& aQueue, const PrefillItem& aItem)
{
  aQueue.mItems.push_back(aItem);
}

void
OnPrefillDone(PrefillQueue& aQueue, std::uint64_t aLocalId, TimeMs aNowMs)
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
  aQueue.mDoneMs = static_cast<double>(aNowMs);
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
  double done = aQueue.mDoneMs;
  for (const PrefillItem& item : aQueue.mItems) {
    done = DoneMs(done, item, aNowMs);
  }
  return std::max(0.0, done - static_cast<double>(aNowMs));
}

void
ExpirePeerPrefills(PrefillQueue& aQueue, TimeMs aNowMs)
{
  auto now = static_cast<double>(aNowMs);
  while (!aQueue.mItems.empty() && aQueue.mItems.front().mLocalId == 0) {
    double done = DoneMs(aQueue.mDoneMs, aQueue.mItems.front(), aNowMs);
    if (done > now) {
      break;
    }
    aQueue.mDoneMs = done;
    aQueue.mItems.pop_front();
  }
  std::erase_if(aQueue.mItems, [aNowMs](const PrefillItem& aItem) {
    return aItem.mLocalId == 0 && aNowMs - aItem.mSentMs > kPeerPrefillTtlMs;
  });
}

} // namespace savory
