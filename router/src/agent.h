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
  std::string mHint;
};

// The agent role: the only path to one backend server.
class Agent
{
public:
  explicit Agent(Node& aNode);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  bool Listen();
  void Drain();

  // The report as of now.
  AgentReport MakeReport() const;
  // Sends the report to all subscribers, without waiting for the next period.
  void ReportNow();

  void OnCallStarted(const void* aCall);
  void OnCallEnded(const void* aCall);

  // Decides whether a model call may start now. The run is told by Begin or
  // Reject when it is queued first.
  AdmissionDecision AdmitRun(const std::shared_ptr<AgentRun>& aRun,
                             const AdmissionRequest& aRequest);
  // A run left the backend server or the queue.
  void OnRunEnded(const std::string& aId);
  // Takes the tokens that a run has generated so far.
  void OnRunTokensGenerated(const std::string& aId, std::int64_t aTokens);

  // A connection to the backend server broke, which may be a restart. Until
  // that is known it gets no more than a cold one, so that queued requests do
  // not start on it at once.
  void SuspectRestart();

  // A request broke at the backend server. Finds out whether it crashed and
  // then tells the crash's id, 0 for none.
  void OnRunBroken(std::uint64_t aFingerprint,
                   const sigc::slot<void(std::uint64_t)>& aOnCrashKnown);

  WarmupOptions WarmupLimits() const;
  bool IsZoneOut() const;

  // Whether work of an entry may run on the configuration in force here: the
  // revisions agree and are known to be new enough. Nothing when it may.
  std::optional<CallRefusal> CheckEntryFreshness(
    const Sender& aFrom,
    const ConfigFreshness& aFreshness);
  // The same for work that waited here, when it starts.
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
  void Stop();
  void OnLoad(const tl::expected<BackendLoad, BackendError>& aLoad);
  void ResolveBrokenRuns(bool aCrashed);
  void ApplyChanges(const AdmissionChanges& aChanges);
  void PollQueue();
  void DetectColdBackend();
  void OnConfigChanged();
  AdmissionOptions AdmissionLimits() const;
  void UpdateSlotEligibility();
  void ReconcileVersions();
  nlohmann::json State() const;

  // A request that broke, until it is known whether the backend server did.
  struct BrokenRun
  {
    std::uint64_t mFingerprint;
    sigc::slot<void(std::uint64_t)> mOnCrashKnown;
  };

  Admission mAdmission;
  LoadOrderState mLoading;
  TimeMs mStartedMs;
  std::map<std::string, std::weak_ptr<AgentRun>> mRuns;
  std::vector<BrokenRun> mBrokenRuns;
  // The allowance before a suspected restart; restored when there was none.
  std::optional<int> mPriorAllowance;
  ZoneState mZoneState = ZoneState::In;
  Admin mAdmin;
  ConfigSync mSync;
  // Outlives the listener, whose end closes the streams of the subscribers.
  std::set<std::shared_ptr<InnerStream>> mReportStreams;
  std::unique_ptr<InnerListener> mListener;
  TimeMs mLastReachableMs = 0;
  Timer mReportTimer;
  Timer mPollTimer;
  Timer mQueueTimer;
  Timer mDrainTimer;
  Timer mDrainLimitTimer;
};

// Serve one stream of an entry to its end.
void
StartAgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);
void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);

// Sends a refusal and ends the stream.
void
Refuse(Agent& aAgent,
       InnerStream& aStream,
       ErrorCode aCode,
       ExecutionState aExecution,
       const std::string& aReason,
       TimeMs aRetryAfterMs,
       const std::string& aHint = "");

} // namespace savory
