#include "savory/core/peer_table.h"

#include "savory/core/runners.h"

#include <algorithm>

namespace savory {

namespace {

// A host that has just started and has not heard its peers yet assumes a fleet
// of this size for this long, so that it does not take too large a share of
// what all hosts have in common.
constexpr int kUnknownFleetHosts = 500;
constexpr TimeMs kUnknownFleetMs = 1500;

// A peer whose store revision is behind this host's by more than this is not
// accepted as coordinator: it may be cut off from the store.
constexpr std::int64_t kMaxCoordinatorLagRevisions = 60;

// A peer whose last answer from the store is older than this is not taken to
// reach it. It covers the wait and the pause of its watch.
constexpr TimeMs kMaxContactAgeMs = 4000;

// How long a peer that left a request unanswered gets none, and its zone is not
// relied upon.
constexpr TimeMs kAvoidMs = 3000;

bool
IsAvoided(const Peer& aPeer, TimeMs aNowMs)
{
  return aNowMs < aPeer.mAvoidedUntilMs;
}

bool
HasContact(const Peer& aPeer, TimeMs aNowMs)
{
  return IsLive(aPeer, aNowMs) && aPeer.mContactMs &&
         aNowMs - *aPeer.mContactMs < kMaxContactAgeMs;
}

} // namespace

bool
IsLive(const Peer& aPeer, TimeMs aNowMs)
{
  return aNowMs - aPeer.mLastHeardMs < kPeerTimeoutMs;
}

void
OnPullFailed(Peer& aPeer, TimeMs aNowMs)
{
  aPeer.mAvoidedUntilMs = aNowMs + kAvoidMs;
}

int
CountLivePeers(const PeerTable& aPeers, TimeMs aNowMs)
{
  return static_cast<int>(
    std::count_if(aPeers.begin(), aPeers.end(), [aNowMs](const auto& aRow) {
      return IsLive(aRow.second, aNowMs);
    }));
}

int
CountEntryHosts(const PeerTable& aPeers,
                int aSeeds,
                TimeMs aStartedMs,
                TimeMs aNowMs)
{
  int live = CountLivePeers(aPeers, aNowMs);
  if (live == 0 && !aPeers.empty() && aNowMs - aStartedMs < kUnknownFleetMs) {
    return kUnknownFleetHosts;
  }
  int hosts = std::max(1 + live, aSeeds);
  for (const auto& [address, peer] : aPeers) {
    if (IsLive(peer, aNowMs)) {
      hosts = std::max(hosts, peer.mLiveHosts);
    }
  }
  return hosts;
}

bool
IsStoreServingPeers(const PeerTable& aPeers, TimeMs aNowMs)
{
  return std::any_of(aPeers.begin(), aPeers.end(), [aNowMs](const auto& aRow) {
    return HasContact(aRow.second, aNowMs);
  });
}

bool
IsFirstCoordinator(const PeerTable& aPeers,
                   const std::string& aHost,
                   const StoreRevision& aStoreRevision,
                   TimeMs aNowMs)
{
  StoreRevision least = aStoreRevision;
  least.mRevision -= kMaxCoordinatorLagRevisions;
  return std::none_of(aPeers.begin(), aPeers.end(), [&](const auto& aRow) {
    const Peer& peer = aRow.second;
    return HasContact(peer, aNowMs) && !peer.mLeaving &&
           peer.mStoreRevision >= least && peer.mHost < aHost;
  });
}

bool
IsFirstByRank(const PeerTable& aPeers,
              const std::string& aHost,
              std::uint64_t aKey,
              TimeMs aNowMs)
{
  auto rank = [aKey](const std::string& aName) {
    return std::pair(RendezvousRank(aKey, aName), aName);
  };
  return std::none_of(aPeers.begin(), aPeers.end(), [&](const auto& aRow) {
    const Peer& peer = aRow.second;
    return IsLive(peer, aNowMs) && !peer.mLeaving &&
           rank(peer.mHost) > rank(aHost);
  });
}

int
CandidateRank(const PeerTable& aPeers,
              const std::string& aHost,
              std::uint64_t aKey,
              TimeMs aNowMs)
{
  auto rank = [aKey](const std::string& aName) {
    return std::pair(RendezvousRank(aKey, aName), aName);
  };
  return static_cast<int>(
    std::count_if(aPeers.begin(), aPeers.end(), [&](const auto& aRow) {
      const Peer& peer = aRow.second;
      return IsLive(peer, aNowMs) && !peer.mLeaving && peer.mMayWatch &&
             rank(peer.mHost) > rank(aHost);
    }));
}

std::optional<std::string>
ChoosePullSource(const PeerTable& aPeers,
                 const WatchDutyOptions& aOptions,
                 bool aIsFollowing,
                 const StoreRevision& aStoreRevision,
                 TimeMs aNowMs)
{
  std::optional<std::string> source;
  StoreRevision newestRevision = aStoreRevision;
  for (const auto& [address, peer] : aPeers) {
    bool isWatcher = peer.mZone == aOptions.mZone &&
                     IsInContact(ToZonePeer(peer), aOptions, aNowMs);
    if (IsLive(peer, aNowMs) && !IsAvoided(peer, aNowMs) &&
        peer.mStoreRevision > newestRevision && (isWatcher || !aIsFollowing)) {
      newestRevision = peer.mStoreRevision;
      source = address;
    }
  }
  return source;
}

std::optional<TimeMs>
WholeAsOfMs(const PeerTable& aPeers,
            const StoreRevision& aPosition,
            TimeMs aSinceMs,
            TimeMs aNowMs)
{
  std::optional<TimeMs> asOfMs;
  for (const auto& [address, peer] : aPeers) {
    if (HasContact(peer, aNowMs) && peer.mLastHeardMs >= aSinceMs &&
        peer.mStoreRevision.mEpoch == aPosition.mEpoch &&
        peer.mStoreRevision <= aPosition) {
      asOfMs = std::max(asOfMs, peer.mContactMs);
    }
  }
  return asOfMs;
}

std::optional<TimeMs>
ServingSinceMs(const PeerTable& aPeers,
               const WatchDutyOptions& aOptions,
               TimeMs aSinceMs,
               TimeMs aNowMs)
{
  std::optional<TimeMs> servingSinceMs;
  for (const auto& [address, peer] : aPeers) {
    if (peer.mLastHeardMs >= aSinceMs &&
        IsInContact(ToZonePeer(peer), aOptions, aNowMs)) {
      servingSinceMs = servingSinceMs
                         ? std::min(*servingSinceMs, peer.mReachableSinceMs)
                         : peer.mReachableSinceMs;
    }
  }
  return servingSinceMs;
}

std::int64_t
NewestEpoch(const PeerTable& aPeers, TimeMs aNowMs)
{
  std::int64_t newest = 0;
  for (const auto& [address, peer] : aPeers) {
    if (IsLive(peer, aNowMs)) {
      newest = std::max(newest, peer.mStoreRevision.mEpoch);
    }
  }
  return newest;
}

std::vector<ZonePeer>
ReliablePeers(const PeerTable& aPeers,
              const std::string& aZone,
              TimeMs aSinceMs,
              TimeMs aNowMs)
{
  std::vector<ZonePeer> reliable;
  for (const auto& [address, peer] : aPeers) {
    if (peer.mZone != aZone || !IsLive(peer, aNowMs) ||
        peer.mLastHeardMs < aSinceMs) {
      continue;
    }
    if (IsAvoided(peer, aNowMs)) {
      return {};
    }
    reliable.push_back(ToZonePeer(peer));
  }
  return reliable;
}

ZonePeer
ToZonePeer(const Peer& aPeer)
{
  return { aPeer.mHost,    aPeer.mLastHeardMs, aPeer.mMayWatch,
           aPeer.mLeaving, aPeer.mContactMs,   aPeer.mReachableSinceMs,
           aPeer.mCapacity };
}

} // namespace savory
