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
  void OnOperatorRequest(const IncomingRequest& aRequest,
                         const std::shared_ptr<CallerLink>& aCaller);
  void OnStoreEntry(const StoreEntry& aEntry);
  void OnStoreDeletion(const std::string& aKey);
  void OnStoreReachability(bool aReachable, const std::string& aReason);
  void OnTableChanged();
  void OnConnectionLost(const std::string& aRunner, std::uint64_t aFingerprint);
  void OnProbeResult(const std::string& aRunner, bool aAlive);
  void Tick();
  void AdvanceShifts();
  void ReloadStoredProgress(const std::string& aService);
  void CommitProgress(const std::string& aService, const ShiftProgress& aNext);
  void CheckDrain();
  void CheckSuspension();
  bool IsReady() const;

  // Requests whose connection to a runner broke, until it is known whether
  // the runner crashed.
  struct CrashProbe
  {
    std::vector<std::uint64_t> mFingerprints;
    std::shared_ptr<ClientLink> mLink;
  };

  EventLoop& mLoop;
  GatewayShared mShared;
  FleetStore mStore;
  StoreFollower mFollower;
  Peers mPeers;
  HttpFrontend mCallerFrontend;
  HttpFrontend mOperatorFrontend;
  std::map<std::string, CrashProbe> mCrashProbes;
  bool mHasState = false;
  // The last outage of the store was this host's own: peers reached it.
  bool mOutageIsLocal = false;
  TimeMs mNextAdvanceMs = 0;
  bool mDraining = false;
  TimeMs mDrainStartMs = 0;
  TimeMs mTotalSuspendedMs = 0;
  std::string mSettingsText;
  Timer mTick;
};

// Runs a gateway with the settings file that the environment names.
int
RunGateway(const std::vector<std::string>& aArguments);

} // namespace savory
