#pragma once

#include "exchange.h"
#include "peers.h"
#include "savory/core/duty_lease.h"
#include "savory/core/true_time.h"
#include "savory/platform/cloud_api.h"
#include "savory/platform/fleet_watcher.h"

#include <string>
#include <vector>

namespace savory {

// The duties that one entry host at a time performs under a lease: the report
// of the requests that began to run, by window of time and customer. Inactive
// unless the settings name the duty.
class Duties
{
public:
  Duties(GatewayShared& aShared, StoreWatcher& aWatcher, Peers& aPeers);

  void Start();
  // An entry of the store was added or changed.
  void OnStoreEntry(const StoreEntry& aEntry);
  // To be called with the store's epoch when it is first seen and when it
  // changes: the store was then restored from an older snapshot. Not called for
  // a store that states none.
  void OnStoreEpoch(std::int64_t aEpoch);
  // Hands the duties over: ends the lease after the pending call.
  void StartDrain() { mLeavingSinceMs = BootTimeMs(); }
  // No lease is held and no call is pending.
  bool IsReleased() const;

private:
  void Tick();
  void StepLease(TimeMs aBootMs);
  void Grant();
  void Acquire();
  void Renew();
  void EndLease();
  void OnLeaseChanged(bool aWasHolder, const std::string& aReason);
  void SealWindows(TimeMs aTrueMs);
  void OnSealCommitted(const std::vector<SealedUsage>& aSeals,
                       bool aMarksSent,
                       tl::expected<StoreCommit, StoreError> aResult);
  void SendReport();
  void OnReportEnded(std::int64_t aWindow, CloudResult aResult);
  void AddUsage(PeerMessage& aMessage);
  void OnPeerUsage(const PeerMessage& aMessage);
  TimeMs TrueMs() const;
  std::int64_t StoredRevision(const std::string& aKey) const;
  void UpdateMetrics();

  GatewayShared& mShared;
  StoreWatcher& mWatcher;
  Peers& mPeers;
  // Its calls do not wait for those of roll-outs.
  FleetStore mStore;
  CloudApi mCloud;
  std::optional<std::int64_t> mStoreEpoch;
  bool mIsActive = false;
  // By the boot clock, since the process was told to stop.
  std::optional<TimeMs> mLeavingSinceMs;
  DutyLease mLease;
  TrueTime mTime;
  UsageLedger mLedger;
  // Reported windows whose marks are not yet in the store.
  bool mHasUnmarked = false;
  TimeMs mNextSealMs = 0;
  TimeMs mNextSendMs = 0;
  // Consecutive calls to the cloud interface without an answer.
  int mFailures = 0;
  Timer mTickTimer;
};

} // namespace savory
