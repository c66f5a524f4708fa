#pragma once

#include "exchange.h"
#include "savory/core/beacon.h"
#include "savory/core/peer_table.h"
#include "store_sharing.h"

#include <map>
#include <set>
#include <string>

struct event;

namespace savory {

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
  // Updates which hosts watch the store. To be called several times a second.
  void UpdateSharing() { mSharing.Update(); }
  // The time since which this host may have missed a change of the store.
  TimeMs CopyAgeMs() const { return mSharing.CopyAgeMs(); }
  void OnResumed() { mSharing.OnResumed(); }
  void StartDrain() { mLeaving = true; }
  // Whether a live peer reaches the store. If so, an outage that this host sees
  // is local, and a deleted entry is not the effect of a store outage.
  bool IsStoreServingPeers(TimeMs aNowMs) const;
  // Whether this host performs the tasks that only one host should, such as
  // advancing roll-outs: it reaches the store and has the lowest name of the
  // live hosts that have applied about the same revision.
  bool IsCoordinator(TimeMs aNowMs) const;
  // Place of this host among the live ones that may perform a task.
  int RankFor(std::uint64_t aKey, TimeMs aNowMs) const;
  // Schedules a message ahead of the next regular one. It also covers what
  // changes until then.
  void ScheduleSend();
  // Sends what has been counted for the usage report since the last message.
  void SendLast();

private:
  void Send();
  void SendDatagram(const std::string& aAddress, const std::string& aBytes);
  void SendToZone(const std::string& aBytes, const std::string& aFromAddress);
  PeerMessage MakeMessage(TimeMs aNowMs);
  void AddShifts(PeerMessage& aMessage) const;
  int PeerCount() const;
  void Receive();
  void OnDatagram(std::string_view aBytes, std::uint32_t aSource);
  void OnDatagramDropped(std::uint32_t aSource, const std::string& aReason);
  void OnPeerMessage(const PeerMessage& aMessage);

  GatewayShared& mShared;
  StoreWatcher& mWatcher;
  HttpFrontend mFrontend;
  int mSocket = -1;
  event* mEvent = nullptr;
  PeerTable mPeers;
  StoreSharing mSharing;
  bool mLeaving = false;
  BeaconCursor mBeaconCursor;
  // Addresses from which a datagram could not be read.
  std::set<std::uint32_t> mDroppedSources;
  TimeMs mStartedMs = 0;
  Timer mBatchTimer;
  Timer mSendTimer;
};

} // namespace savory
