#pragma once

#include "admin.h"
#include "bill_keeper.h"
#include "node.h"
#include "savory/core/admission.h"
#include "savory/core/config_sync.h"
#include "savory/core/loading.h"
#include "savory/core/metrics.h"
#include "savory/core/quarantine.h"
#include "savory/core/warmup.h"
#include "savory/core/wire.h"
#include "savory/net/inner.h"
#include "savory/platform/backend.h"
#include "slots.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savory {

class AgentRun;

// Why a call is refused before it reaches the backend server.
struct CallRefusal
{
  ErrorCode mCode = ErrorCode::Internal;
  std::string mReason;
  TimeMs mRetryAfterMs = 0;
  std::string mLoadHint;
};

// The agent role: the only path to one backend server.
class Agent
{
public:
  explicit Agent(Node& aNode);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Listens on all addresses. Returns false when one cannot be bound.
  bool Listen();
  // Starts a graceful shutdown. The event loop stops once no call is in
  // progress, no slot is held and all bills are written, or at the drain
  // deadline.
  void Drain();

  AgentReport MakeReport() const;
  // Sends the report to all subscribed entries now, without waiting for the
  // report interval.
  void ReportNow();

  // Track the calls in progress, for the drain and the state dump.
  void OnCallStarted(const void* aCall);
  void OnCallEnded(const void* aCall);

  // Decides whether a model call may start now. When it is queued first, the
  // agent later calls StartQueued or Reject of the run.
  AdmissionDecision AdmitRun(const std::shared_ptr<AgentRun>& aRun,
                             const AdmissionRequest& aRequest);
  // A run has left the backend server or the queue.
  void OnRunEnded(const std::string& aId);
  // aTokens is the total that the run has generated so far. Cancels the runs
  // that no longer fit the backend server's memory.
  void OnRunTokensGenerated(const std::string& aId, std::int64_t aTokens);

  // A connection to the backend server was lost, which may mean a restart.
  // Until the next poll shows whether it was one, the allowance is that of a
  // cold backend server, so that queued requests do not all start on it.
  void SuspectRestart();

  // The connection of a request to the backend server was lost. Polls the
  // backend server to find out whether it crashed, then calls aOnCrashKnown
  // with the id of the crash, or with 0 if there was none.
  void OnRunConnectionLost(
    std::uint64_t aFingerprint,
    const sigc::slot<void(std::uint64_t)>& aOnCrashKnown);

  WarmupOptions MakeWarmupOptions() const;
  bool IsZoneOut() const;

  // Checks whether work of an entry may run on the configuration in force
  // here: the revisions must agree and must be known to be recent enough.
  // Returns the refusal, or nothing when the work may run.
  std::optional<CallRefusal> CheckEntryFreshness(
    const Sender& aSender,
    const ConfigFreshness& aFreshness);
  // Whether the configuration is recent enough for queued work to start.
  bool IsConfigurationFresh() const;

  Node& mNode;
  StoreClient mStore;
  BillKeeper mBills;
  Metrics mMetrics;
  std::set<const void*> mCalls;
  BackendLoad mLoad;
  bool mReachable = false;
  Warmup mWarmup;
  Quarantine mQuarantine;
  // The slots of the plain service; null beside an engine.
  std::unique_ptr<Slots> mSlots;

private:
  void OnStream(const std::shared_ptr<InnerStream>& aStream);
  void OnSettled(const Frame& aFrame);
  void OnConfig(const std::shared_ptr<InnerStream>& aStream,
                const Frame& aFrame);
  void PollBackend();
  void StopIfIdle();
  void OnLoad(const tl::expected<BackendLoad, BackendError>& aLoad);
  void ResolveLostRuns(bool aCrashed);
  void ApplyChanges(const AdmissionChanges& aChanges);
  void PollQueue();
  void DetectColdBackend();
  void OnConfigChanged();
  AdmissionOptions MakeAdmissionOptions() const;
  void UpdateSlotEligibility();
  void ReconcileVersions();
  nlohmann::json State() const;

  // A request whose connection was lost, until a poll shows whether the
  // backend server crashed.
  struct LostRun
  {
    std::uint64_t mFingerprint;
    sigc::slot<void(std::uint64_t)> mOnCrashKnown;
  };

  Admission mAdmission;
  LoadOrderState mLoading;
  TimeMs mStartedMs;
  std::map<std::string, std::weak_ptr<AgentRun>> mRuns;
  std::vector<LostRun> mLostRuns;
  // The allowance before a suspected restart, which is restored when a poll
  // shows that the backend server did not restart.
  std::optional<int> mPriorAllowance;
  ZoneState mZoneState = ZoneState::In;
  Admin mAdmin;
  ConfigSync mSync;
  // Must outlive the listener, whose destruction closes these streams.
  std::set<std::shared_ptr<InnerStream>> mReportStreams;
  std::unique_ptr<InnerListener> mListener;
  TimeMs mLastReachableMs = 0;
  Timer mReportTimer;
  Timer mPollTimer;
  Timer mQueueTimer;
  Timer mDrainPollTimer;
  Timer mDrainDeadlineTimer;
};

// Serves one stream of an entry until it ends.
void
StartAgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);
void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);

// Sends a refusal and ends the stream. aLoadHint is an encoded LoadHint, or
// empty.
void
Refuse(Agent& aAgent,
       InnerStream& aStream,
       ErrorCode aCode,
       ExecutionState aExecution,
       const std::string& aReason,
       TimeMs aRetryAfterMs,
       const std::string& aLoadHint = "");

} // namespace savory
