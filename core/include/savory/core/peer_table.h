#pragma once

#include "savory/core/store_revision.h"
#include "savory/core/types.h"
#include "savory/core/watch_duty.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savory {

// A peer without a message for this long is considered down.
inline constexpr TimeMs kPeerTimeoutMs = 2500;

// Another entry host, as its last message described it.
struct Peer
{
  std::string mHost;
  // Empty until the first message of the peer.
  std::string mZone;
  TimeMs mLastHeardMs = -1'000'000;
  StoreRevision mStoreRevision;
  bool mLeaving = false;
  bool mMayWatch = false;
  // Last answer that the peer received from the store itself.
  std::optional<TimeMs> mContactMs;
  TimeMs mReachableSinceMs = 0;
  // Number of live hosts that the peer counts.
  int mLiveHosts = 0;
  // See ZonePeer.
  double mCapacity = 0;
  // The peer has left a request for changes unanswered, though its messages
  // arrive, and gets none before this time.
  TimeMs mAvoidedUntilMs = -1'000'000;
};

// Keyed by address.
using PeerTable = std::map<std::string, Peer>;

bool
IsLive(const Peer& aPeer, TimeMs aNowMs);

// Live hosts of a zone that were heard since aSinceMs, on which this host may
// rely to watch the store. None while one of them leaves requests for changes
// unanswered: this host then watches the store itself, as it has no time left
// to try the others in turn.
std::vector<ZonePeer>
ReliablePeers(const PeerTable& aPeers,
              const std::string& aZone,
              TimeMs aSinceMs,
              TimeMs aNowMs);

// The peer has left a request for changes unanswered.
void
OnPullFailed(Peer& aPeer, TimeMs aNowMs);

int
CountLivePeers(const PeerTable& aPeers, TimeMs aNowMs);

// Number of hosts that share the budgets of the fleet: allowances of cold
// backend servers and retries. Peers may know more hosts than this one, which
// may just have started; while it has heard none of them it assumes a large
// fleet. aSeeds is the number of hosts that the settings name.
int
CountEntryHosts(const PeerTable& aPeers,
                int aSeeds,
                TimeMs aStartedMs,
                TimeMs aNowMs);

// Whether some live peer has had an answer from the store lately. If so, an
// outage that this host sees is local.
bool
IsStoreServingPeers(const PeerTable& aPeers, TimeMs aNowMs);

// Whether no peer precedes aHost as coordinator: a live one with a lower name
// that reaches the store, in no older epoch of it, and is not far behind
// aStoreRevision.
bool
IsFirstCoordinator(const PeerTable& aPeers,
                   const std::string& aHost,
                   const StoreRevision& aStoreRevision,
                   TimeMs aNowMs);

// Whether aHost has the highest rendezvous hash for a key of the live hosts
// that are not leaving: one host of the fleet, as far as they know each other.
bool
IsFirstByRank(const PeerTable& aPeers,
              const std::string& aHost,
              std::uint64_t aKey,
              TimeMs aNowMs);

// Place of aHost in the order by rendezvous hash for a key: the number of live
// hosts that are not leaving, may call the store and come before it.
int
CandidateRank(const PeerTable& aPeers,
              const std::string& aHost,
              std::uint64_t aKey,
              TimeMs aNowMs);

// Address of the peer from which a host fetches what it lacks of the store
// while it does not reach the store itself: the one with the newest revision
// above aStoreRevision that answers, or nothing if there is none. A host that
// follows its zone's watchers fetches only from them.
std::optional<std::string>
ChoosePullSource(const PeerTable& aPeers,
                 const WatchDutyOptions& aOptions,
                 bool aIsFollowing,
                 const StoreRevision& aStoreRevision,
                 TimeMs aNowMs);

// The latest time as of which a copy at aPosition was whole: a live peer, heard
// since aSinceMs, that knows nothing newer had an answer from the store then.
// Empty if no peer tells.
std::optional<TimeMs>
WholeAsOfMs(const PeerTable& aPeers,
            const StoreRevision& aPosition,
            TimeMs aSinceMs,
            TimeMs aNowMs);

// The earliest time since which a peer in contact with the store has reached it
// without an outage, whatever its zone: an outage that only some hosts saw is
// not the store's. Empty without a peer in contact.
std::optional<TimeMs>
ServingSinceMs(const PeerTable& aPeers,
               const WatchDutyOptions& aOptions,
               TimeMs aSinceMs,
               TimeMs aNowMs);

// The newest epoch of the store that live peers have.
std::int64_t
NewestEpoch(const PeerTable& aPeers, TimeMs aNowMs);

// The part of a peer's state that decides who watches the store.
ZonePeer
ToZonePeer(const Peer& aPeer);

} // namespace savory
