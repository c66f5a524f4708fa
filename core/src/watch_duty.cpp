#include "savory/core/watch_duty.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace savory {

namespace {

// With this bound on a change or a higher one, a zone has one watcher: a change
// that it misses arrives within 3 s.
constexpr TimeMs kMinSingleWatcherBoundMs = 4000;

// From this bound on, a zone has two watchers, so that the loss of one delays
// no change. Below it, all hosts watch.
constexpr TimeMs kMinFollowBoundMs = 3000;

// Shares of the bound on a change. The wait, the pause and the interval of the
// beacons, which tell the followers, stay below the age of a copy.
constexpr double kFollowedWaitShare = 0.25;
constexpr double kFollowedPauseShare = 0.15;
constexpr double kMaxCopyAgeShare = 0.6;

TimeMs
ShareOf(TimeMs aBoundMs, double aShare)
{
  return static_cast<TimeMs>(aShare * static_cast<double>(aBoundMs));
}

// The zone's name is part of the key, so that hosts with alike names in
// different zones do not all rank first.
std::pair<double, std::uint64_t>
Rank(double aCapacity, const std::string& aHost, const std::string& aZone)
{
  return { aCapacity,
           XXH3_64bits_withSeed(aHost.data(),
                                aHost.size(),
                                XXH3_64bits(aZone.data(), aZone.size())) };
}

bool
IsLive(const ZonePeer& aPeer, const WatchDutyOptions& aOptions, TimeMs aNowMs)
{
  return !aPeer.mLeaving && aNowMs - aPeer.mHeardMs < aOptions.mMaxSilenceMs;
}

} // namespace

int
WatcherCount(const WatchDutyOptions& aOptions)
{
  if (aOptions.mChangeBoundMs < kMinFollowBoundMs) {
    return std::numeric_limits<int>::max();
  }
  return aOptions.mChangeBoundMs < kMinSingleWatcherBoundMs ? 2 : 1;
}

WatchPeriod
FollowedWatchPeriod(TimeMs aChangeBoundMs)
{
  return { ShareOf(aChangeBoundMs, kFollowedWaitShare),
           ShareOf(aChangeBoundMs, kFollowedPauseShare) };
}

TimeMs
MaxCopyAgeMs(const WatchDutyOptions& aOptions)
{
  return ShareOf(aOptions.mChangeBoundMs, kMaxCopyAgeShare);
}

bool
IsInContact(const ZonePeer& aPeer,
            const WatchDutyOptions& aOptions,
            TimeMs aNowMs)
{
  return IsLive(aPeer, aOptions, aNowMs) && aPeer.mContactMs &&
         aNowMs - *aPeer.mContactMs < aOptions.mMaxContactAgeMs;
}

void
UpdateWatchDuty(WatchDuty& aDuty,
                const WatchDutyOptions& aOptions,
                const std::vector<ZonePeer>& aPeers,
                bool aMayWatch,
                TimeMs aCopyAgeMs,
                TimeMs aNowMs)
{
  auto localRank = Rank(aOptions.mCapacity, aOptions.mHost, aOptions.mZone);
  int candidatesAbove = 0;
  int watchers = 0;
  int watchersAbove = 0;
  for (const ZonePeer& peer : aPeers) {
    if (!IsLive(peer, aOptions, aNowMs)) {
      continue;
    }
    bool above = Rank(peer.mCapacity, peer.mHost, aOptions.mZone) > localRank;
    candidatesAbove += above && peer.mMayWatch;
    if (IsInContact(peer, aOptions, aNowMs)) {
      ++watchers;
      watchersAbove += above;
    }
  }
  int electedHosts = WatcherCount(aOptions);
  bool isStale = aMayWatch && aCopyAgeMs >= MaxCopyAgeMs(aOptions);
  bool isElected = isStale || (aMayWatch && candidatesAbove < electedHosts);
  // A host that already watches stops only for a watcher of a higher rank;
  // otherwise two hosts that took over would both stop.
  aDuty.mCovered =
    !isElected &&
    (aDuty.mWatching && aMayWatch ? watchersAbove > 0 : watchers > 0);
  if (aDuty.mCovered) {
    aDuty.mWatching = false;
    aDuty.mUncoveredMs.reset();
    return;
  }
  if (aDuty.mWatching) {
    return;
  }
  if (!aDuty.mUncoveredMs) {
    aDuty.mUncoveredMs = aNowMs;
  }
  TimeMs delayMs = isElected ? 0
                             : std::min(aOptions.mMaxTakeoverMs,
                                        aOptions.mTakeoverStepMs *
                                          (candidatesAbove - electedHosts + 1));
  if (aNowMs - *aDuty.mUncoveredMs >= delayMs) {
    aDuty.mWatching = true;
    aDuty.mUncoveredMs.reset();
  }
}

} // namespace savory
