#pragma once

#include "savory/core/types.h"
#include "savory/core/watch_duty.h"

#include <map>
#include <optional>
#include <string>

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
  std::int64_t mStoreRevision = 0;
  bool mLeaving = false;
  bool mMayWatch = false;
  // Last answer that the peer received from the store itself.
  std::optional<TimeMs> mContactMs;
  TimeMs mReachableSinceMs = 0;
  // Number of live hosts that the peer counts.
  int mLiveHosts = 0;
};

// Keyed by address.
using PeerTable = std::map<std::string, Peer>;

inline bool
IsLive(const Peer& aPeer, TimeMs aNowMs)
{
  return aNowMs - aPeer.mLastHeardMs < kPeerTimeoutMs;
}

// The part of a peer's state that decides who watches the store.
inline ZonePeer
ToZonePeer(const Peer& aPeer)
{
  return { aPeer.mHost,    aPeer.mLastHeardMs, aPeer.mMayWatch,
           aPeer.mLeaving, aPeer.mContactMs,   aPeer.mReachableSinceMs };
}

} // namespace savory
