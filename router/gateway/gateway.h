#pragma once

#include "duties.h"
#include "exchange.h"
#include "peers.h"
#include "savory/platform/fleet_watcher.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savory {

// The process of an entry host on the fleet platform. Accepts requests of
// callers and sends them to runners; watches the store and exchanges state with
// the other entry hosts.
class Gateway
{
public:
  Gateway(EventLoop& aLoop, FleetSettings aSettings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Listens on all addresses. Returns false if that fails for one of them.
  bool Listen();
  // Starts a graceful shutdown, which stops the event loop at its end.
  void Drain();
  // Reads the settings file again and applies the settings that may change
  // while the process runs.
  void Reload(const std::string& aPath);

private:
  void OnRequest(IncomingRequest& aRequest,
                 const std::shared_ptr<CallerLink>& aCaller);
  void OnCallerRefused(std::string_view aReason);
  void OnOperatorRequest(const IncomingRequest& aRequest,
                         const std::shared_ptr<CallerLink>& aCaller);
  void OnStoreEntry(const StoreEntry& aEntry);
  void OnStoreDeletion(const std::string& aKey);
  void OnRestored(const StoreRevision& aBefore);
  void OnStoreAnswer(std::int64_t aRevision,
                     std::size_t aEntries,
                     const std::string& aReason);
  void OnStoreReachability(bool aReachable, const std::string& aReason);
  void OnTableChanged();
  void OnConnectionLost(const std::string& aRunner,
                        const LostAttempt& aAttempt);
  // aFailure is empty if the runner accepted the connection.
  void OnProbeResult(const std::string& aRunner,
                     std::optional<LinkFailure> aFailure);
  void OnSuspectsChanged();
  void Tick();
  void UpdateRunnerHints(TimeMs aNowMs);
  void AdvanceShifts();
  void ReloadStoredProgress(const std::string& aService);
  void CommitProgress(const std::string& aService, const ShiftProgress& aNext);
  void CheckDrain();
  void CheckSuspension();
  bool IsReady() const;

  // A connection attempt that finds out whether a runner crashed, and the
  // attempts whose connections to it broke meanwhile.
  struct CrashProbe
  {
    std::vector<LostAttempt> mAttempts;
    std::shared_ptr<ClientLink> mLink;
  };

  // Callers refused for one reason since its last log line.
  struct RefusalLog
  {
    std::optional<TimeMs> mLoggedMs;
    std::uint64_t mCount = 0;
  };

  EventLoop& mLoop;
  GatewayShared mShared;
  FleetStore mStore;
  StoreWatcher mWatcher;
  Peers mPeers;
  Duties mDuties;
  HttpFrontend mCallerFrontend;
  HttpFrontend mOperatorFrontend;
  // Keyed by runner.
  std::map<std::string, CrashProbe> mCrashProbes;
  std::map<std::string, RefusalLog> mRefusalLogs;
  bool mHasState = false;
  // The last store outage affected this host alone: peers reached the store.
  bool mOutageIsLocal = false;
  TimeMs mNextAdvanceMs = 0;
  bool mDraining = false;
  TimeMs mTickedMs = 0;
  TimeMs mTotalSuspendedMs = 0;
  std::string mSettingsText;
  Timer mTickTimer;
};

// Runs a gateway with the settings file named by the arguments or, without one,
// by the environment. Returns the exit code.
int
RunGateway(const std::vector<std::string>& aArguments);

} // namespace savory
