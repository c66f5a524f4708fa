#pragma once

#include "exchange.h"
#include "savory/platform/fleet_store.h"

#include <map>
#include <memory>
#include <string>

struct event;

namespace savory {

// What an entry host tells the others several times a second, by datagram. A
// lost one is replaced by the next; nothing in it must arrive.
struct PeerBeacon
{
  std::string mHost;
  std::string mAddress;
  std::string mZone;
  // The receiver passes the beacon on to the hosts of its own zone.
  bool mRelay = false;
  // The store's revision that the sender knows.
  std::int64_t mAt = 0;
  bool mLeaving = false;
  // The sender reaches the store.
  bool mReachesStore = false;
  struct Shift
  {
    std::int64_t mOrderRevision = 0;
    TimeMs mOrderAgeMs = 0;
    ShiftCounts mCounts;
  };
  // Shifts in progress, by service.
  std::map<std::string, Shift> mShifts;
  // Work sent to a runner: milliseconds of reading in all, and the shared parts
  // of prompts since the last beacon, by their PrefixCacheKey.
  struct Reads
  {
    double mTotalMs = 0;
    std::vector<std::uint64_t> mParts;
  };
  // Of the runners that were sent work lately.
  std::map<std::string, Reads> mReads;
  std::vector<SuspectRow> mSuspects;
  // Addresses of the hosts that the sender heard lately.
  std::vector<std::string> mKnown;
};

std::string
EncodeBeacon(const PeerBeacon& aBeacon);
std::optional<PeerBeacon>
DecodeBeacon(std::string_view aBytes);

// The store's items for a peer that the store turns away.
std::string
EncodePeerItems(const StoreWatcher& aFollower);

// The other entry hosts: found by the seeds and by hearsay, heard by
// datagrams, and asked for the store's items when the store is out of reach.
class Peers
{
public:
  Peers(GatewayShared& aShared, StoreWatcher& aFollower);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Opens the sockets. False when an address cannot be used.
  bool Start();
  void StartDrain() { mLeaving = true; }
  int LiveCount(TimeMs aNowMs) const;
  // Whether a live peer reaches the store: then an outage that this host sees
  // is its own, and entries that go are gone.
  bool IsStoreServingPeers(TimeMs aNowMs) const;
  // Whether this host drives what only one should: the live host with the
  // lowest name.
  bool IsDriver(TimeMs aNowMs) const;

private:
  struct Peer
  {
    std::string mHost;
    // Empty until the peer was heard.
    std::string mZone;
    TimeMs mHeardMs = -1'000'000;
    std::int64_t mAt = 0;
    bool mLeaving = false;
    bool mReachesStore = false;
  };

  void Send();
  void SendDatagram(const std::string& aAddress, const std::string& aBytes);
  void Relay(PeerBeacon aBeacon);
  void SendSoon();
  int Fanout() const;
  void Receive();
  void TakeBeacon(const PeerBeacon& aBeacon);
  void PullIfBehind();
  void Serve(const IncomingRequest& aRequest,
             const std::shared_ptr<CallerLink>& aCaller);

  GatewayShared& mShared;
  StoreWatcher& mFollower;
  HttpFrontend mFrontend;
  int mSocket = -1;
  event* mEvent = nullptr;
  // By address.
  std::map<std::string, Peer> mPeers;
  std::string mPullAddress;
  std::unique_ptr<FleetStoreConnection> mPull;
  bool mLeaving = false;
  // What the last beacon told of each runner.
  std::map<std::string, double> mToldReads;
  Timer mSoon;
  Timer mTimer;
};

} // namespace savory
