#pragma once

#include "exchange.h"
#include "savory/platform/fleet_store.h"

#include <map>
#include <memory>
#include <string>

struct event;

namespace savory {

// The datagram that entry hosts exchange several times a second. Delivery need
// not be reliable: the next message replaces a lost one.
struct PeerMessage
{
  std::string mHost;
  std::string mAddress;
  std::string mZone;
  // The receiver forwards the message to the hosts of its own zone.
  bool mRelay = false;
  // The store's revision that the sender has applied.
  std::int64_t mStoreRevision = 0;
  bool mLeaving = false;
  // The sender reaches the store.
  bool mReachesStore = false;
  struct Shift
  {
    std::int64_t mOrderRevision = 0;
    TimeMs mOrderAgeMs = 0;
    ShiftCounts mCounts;
  };
  // Version shifts in progress, keyed by service.
  std::map<std::string, Shift> mShifts;
  // Prefills that the sender sent to a runner: their expected milliseconds in
  // total, and the PrefixCacheKeys of the shared prompt parts since the last
  // message.
  struct PrefillReport
  {
    double mTotalMs = 0;
    std::vector<std::uint64_t> mPartKeys;
  };
  // Keyed by runner; only runners with prefills since the last message.
  std::map<std::string, PrefillReport> mPrefills;
  std::vector<SuspectRow> mSuspects;
  // Addresses of the hosts that the sender considers live.
  std::vector<std::string> mLiveAddresses;
};

std::string
EncodePeerMessage(const PeerMessage& aMessage);
std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

// Returns the watched store entries in the format that ParseFleetEntries reads,
// for a peer that cannot reach the store.
std::string
FormatFleetEntries(const StoreWatcher& aWatcher);

// The other entry hosts. They are discovered through the seeds and through the
// addresses in peer messages, exchange state by datagrams, and provide the
// store's entries while this host cannot reach the store.
class Peers
{
public:
  Peers(GatewayShared& aShared, StoreWatcher& aWatcher);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Opens the sockets and starts sending. Returns false if an address cannot be
  // used.
  bool Start();
  void StartDrain() { mLeaving = true; }
  int LivePeerCount(TimeMs aNowMs) const;
  // Whether a live peer reaches the store. If so, an outage that this host sees
  // is local, and a deleted entry is not the effect of a store outage.
  bool IsStoreServingPeers(TimeMs aNowMs) const;
  // Whether this host performs the tasks that only one host should, such as
  // advancing roll-outs: it reaches the store and has the lowest name of the
  // live hosts that have applied about the same revision.
  bool IsCoordinator(TimeMs aNowMs) const;

private:
  struct Peer
  {
    std::string mHost;
    // Empty until the first message of the peer.
    std::string mZone;
    TimeMs mLastHeardMs = -1'000'000;
    std::int64_t mStoreRevision = 0;
    bool mLeaving = false;
    bool mReachesStore = false;
  };

  void Send();
  void SendDatagram(const std::string& aAddress, const std::string& aBytes);
  void Relay(PeerMessage aMessage);
  void ScheduleSend();
  int PeerCount() const;
  void Receive();
  void OnPeerMessage(const PeerMessage& aMessage);
  void PullIfBehind();
  void OnPeerRequest(const IncomingRequest& aRequest,
                     const std::shared_ptr<CallerLink>& aCaller);

  GatewayShared& mShared;
  StoreWatcher& mWatcher;
  HttpFrontend mFrontend;
  int mSocket = -1;
  event* mEvent = nullptr;
  // Keyed by address.
  std::map<std::string, Peer> mPeers;
  std::string mPullAddress;
  std::unique_ptr<FleetStoreConnection> mPullConnection;
  bool mLeaving = false;
  // Total prefill time in the last message, keyed by runner.
  std::map<std::string, double> mPublishedPrefillMs;
  Timer mBatchTimer;
  Timer mSendTimer;
};

} // namespace savory
