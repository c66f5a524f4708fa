#pragma once

#include "savory/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace savory {

// Decides which hosts of an availability zone watch the store. A few hosts, the
// most capable ones and among equals the first by rendezvous hash, watch it and
// pass its changes on; the others follow them. The number of calls to the store
// thus grows with the zones and not with the hosts. The hosts need not agree:
// one that is not covered watches the store itself.
struct WatchDutyOptions
{
  std::string mHost;
  std::string mZone;
  // See ZonePeer.
  double mCapacity = 0;
  // A change of the store must be in force within this time.
  TimeMs mChangeBoundMs = 0;
  // A peer without a message for this long is not relied upon.
  TimeMs mMaxSilenceMs = 1000;
  // A watcher is relied upon for this long after its last answer of the store.
  TimeMs mMaxContactAgeMs = 2000;
  // Without a watcher, the hosts of the zone take over in the order of their
  // rank, this long after each other and after mMaxTakeoverMs at the latest.
  TimeMs mTakeoverStepMs = 150;
  TimeMs mMaxTakeoverMs = 600;
};

// Another host of the zone, as its last message described it. Times are those
// of the local clock.
struct ZonePeer
{
  std::string mHost;
  TimeMs mHeardMs = 0;
  // The peer can call the store, as far as it knows.
  bool mMayWatch = true;
  bool mLeaving = false;
  // Last answer that the peer received from the store itself.
  std::optional<TimeMs> mContactMs;
  // End of the last outage of the store that the peer saw.
  TimeMs mReachableSinceMs = 0;
  // Grows with the host's link and processor share; equal hosts have the same.
  double mCapacity = 0;
};

// The local host's part.
struct WatchDuty
{
  bool mWatching = true;
  // The host is watched for: it follows a peer in contact with the store.
  bool mCovered = false;
  // When the host last lost all watchers; empty while covered or watching.
  std::optional<TimeMs> mUncoveredMs;
};

// Number of hosts of a zone that watch the store. It depends on the time that
// the bound on a change leaves to notice that a watcher is lost and to take
// over from it.
int
WatcherCount(const WatchDutyOptions& aOptions);

// The long polls of a host that others follow: the time that the store waits
// for a change, and the pause between two.
struct WatchPeriod
{
  TimeMs mWaitMs = 0;
  TimeMs mPauseMs = 0;
};

WatchPeriod
FollowedWatchPeriod(TimeMs aChangeBoundMs);

// A host whose copy of the store is older than this asks the store itself,
// whoever watches for it: each watcher that is relied upon and then lost would
// otherwise add to the time that a change takes.
TimeMs
MaxCopyAgeMs(const WatchDutyOptions& aOptions);

// Whether a peer is in contact with the store, so that a host may rely on it.
bool
IsInContact(const ZonePeer& aPeer,
            const WatchDutyOptions& aOptions,
            TimeMs aNowMs);

// Updates the duty from the peers of the zone. aMayWatch is false while the
// store turns this host away. aCopyAgeMs is the time since which this host may
// have missed a change.
void
UpdateWatchDuty(WatchDuty& aDuty,
                const WatchDutyOptions& aOptions,
                const std::vector<ZonePeer>& aPeers,
                bool aMayWatch,
                TimeMs aCopyAgeMs,
                TimeMs aNowMs);

} // namespace savory
