#include "savory/core/backlog.h"

#include <algorithm>

namespace savory {

namespace {

// Peers' work is forgotten after this time, however long it was to take.
constexpr TimeMs kForgetMs = 5000;

} // namespace

void
AddWork(Backlog& aBacklog, const BacklogItem& aItem)
{
  aBacklog.mItems.push_back(aItem);
}

void
ConfirmRead(Backlog& aBacklog, std::uint64_t aOwn)
{
  auto found =
    std::find_if(aBacklog.mItems.begin(),
                 aBacklog.mItems.end(),
                 [aOwn](const auto& aItem) { return aItem.mOwn == aOwn; });
  if (found == aBacklog.mItems.end()) {
    return;
  }
  TimeMs sent = found->mSentMs;
  std::erase_if(aBacklog.mItems, [&](const BacklogItem& aItem) {
    return aItem.mOwn == aOwn || (aItem.mOwn == 0 && aItem.mSentMs <= sent);
  });
}

void
RemoveWork(Backlog& aBacklog, std::uint64_t aOwn)
{
  std::erase_if(aBacklog.mItems, [aOwn](const BacklogItem& aItem) {
    return aItem.mOwn == aOwn;
  });
}

double
BacklogMs(const Backlog& aBacklog, TimeMs aNowMs)
{
  auto now = static_cast<double>(aNowMs);
  double busyUntil = 0;
  for (const BacklogItem& item : aBacklog.mItems) {
    busyUntil =
      std::max(busyUntil, static_cast<double>(item.mSentMs)) + item.mReadMs;
    if (item.mOwn != 0 && busyUntil < now) {
      busyUntil = now + std::min(item.mReadMs, now - busyUntil);
    }
  }
  return std::max(0.0, busyUntil - now);
}

void
PruneBacklog(Backlog& aBacklog, TimeMs aNowMs)
{
  std::erase_if(aBacklog.mItems, [aNowMs](const BacklogItem& aItem) {
    return aItem.mOwn == 0 &&
           (aNowMs - aItem.mSentMs > kForgetMs ||
            static_cast<double>(aNowMs - aItem.mSentMs) > 4 * aItem.mReadMs);
  });
}

} // namespace savory
