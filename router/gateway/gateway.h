#pragma once

#include "exchange.h"
#include "peers.h"
#include "savory/platform/fleet_store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savory {

// The entry host's process on the fleet platform: callers on one side, runners
// on the other, the store and the other entry hosts beside it.
class Gateway
{
public:
  Gateway(EventLoop& aLoop, FleetSettings aSettings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Opens all addresses. False when one cannot be used.
  bool Listen();
  // Begins a graceful shutdown; the loop stops when it is over.
  void Drain();
  // The settings file may have changed.
  void Reload(const std::string& aPath);

private:
  void OnRequest(const IncomingRequest& aRequest,
                 const std::shared_ptr<CallerLink>& aCaller);
  void OnOwnCall(const IncomingRequest& aRequest,
                 const std::shared_ptr<CallerLink>& aCaller);
  void OnItem(const StoreEntry& aEntry);
  void OnDeleted(const std::string& aKey);
  void OnReachable(bool aReachable, const std::string& aReason);
  void OnTableChanged();
  void OnBroken(const std::string& aRunner, std::uint64_t aFingerprint);
  void OnProbed(const std::string& aRunner, bool aAlive);
  void Tick();
  void DriveShifts();
  void TakeStoredProgress(const std::string& aService);
  void CommitShift(const std::string& aService, const ShiftProgress& aNext);
  void CheckDrain();
  void CheckSuspension();
  bool IsReady() const;

  // Requests whose connection to a runner broke, until it is known whether
  // the runner crashed.
  struct BrokenRunner
  {
    std::vector<std::uint64_t> mFingerprints;
    std::shared_ptr<ClientLink> mProbe;
  };

  EventLoop& mLoop;
  GatewayShared mShared;
  FleetStore mStore;
  StoreWatcher mFollower;
  Peers mPeers;
  HttpFrontend mCallers;
  HttpFrontend mReady;
  std::map<std::string, BrokenRunner> mBroken;
  bool mHasState = false;
  // The last outage of the store was this host's own: peers reached it.
  bool mOutageIsOwn = false;
  TimeMs mNextDriveMs = 0;
  bool mDraining = false;
  TimeMs mDrainSinceMs = 0;
  TimeMs mBootLagMs = 0;
  std::string mSettingsText;
  Timer mTick;
};

// Runs a gateway with the settings file that the environment names.
int
RunGateway(const std::vector<std::string>& aArguments);

} // namespace savory
