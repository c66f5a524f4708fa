#pragma once

#include "gateway_metrics.h"
#include "gateway_state.h"
#include "runner_links.h"
#include "savory/core/answer_use.h"
#include "savory/core/event_stream.h"
#include "savory/core/peer_message.h"
#include "savory/core/shutdown.h"
#include "savory/net/http_link.h"
#include "savory/platform/fleet_headers.h"

#include <memory>
#include <set>
#include <string>

namespace savory {

class Exchange;

// An attempt whose connection broke.
struct LostAttempt
{
  // The id of the crash if the runner's process has crashed.
  std::uint64_t mCrash = 0;
  // Empty if the runner had answered beyond the head.
  std::optional<CrashCandidate> mCandidate;
};

// A planned stop of this process that is under way.
struct Shutdown
{
  TimeMs mStartMs = 0;
  ShutdownPlan mPlan;
};

// State that all requests of the process share.
struct GatewayShared
{
  EventLoop& mLoop;
  FleetSettings mSettings;
  GatewayState mState;
  RunnerLinks mLinks;
  GatewayMetrics mMetrics;
  std::set<std::shared_ptr<Exchange>> mExchanges;
  std::optional<Shutdown> mShutdown;
  // Bytes of answers that are buffered until they are whole. They are a holder
  // of the budget, too.
  std::size_t mBufferedBytes = 0;
  ProcessLimits mProcessLimits;
  std::shared_ptr<ByteBudget> mByteBudget = std::make_shared<ByteBudget>();
  std::uint64_t mAnswersHolder = 0;
  // The attempt id assigned last; each attempt gets the next one.
  std::uint64_t mLastAttemptId = 0;
  // Called after a prompt with a long prefill was sent, so that the peers are
  // notified soon.
  sigc::slot<void()> mOnLongPrefill = [] {};
  // Called with the runner after a connection broke during a request; the
  // gateway checks whether the runner crashed.
  sigc::slot<void(const std::string&, const LostAttempt&)> mOnConnectionLost;
  // Called when requests may have become blocked as they crash runners.
  sigc::slot<void()> mOnSuspectsChanged = [] {};
  // Whether this host makes the fleet's trials of a blocked suspect.
  sigc::slot<bool(const SuspectKey&)> mIsTrialHost = [](const SuspectKey&) {
    return true;
  };

  // Called with the customer when a request began to run.
  sigc::slot<void(const std::string&)> mOnRequestRan = [](const std::string&) {
  };
  // Add what the duties state to a message to the peers, and read it.
  sigc::slot<void(PeerMessage&)> mAddUsage = [](PeerMessage&) {};
  sigc::slot<void(const PeerMessage&)> mOnPeerUsage = [](const PeerMessage&) {};

  GatewayShared(EventLoop& aLoop, FleetSettings aSettings);

  void SetBufferedBytes(std::size_t aBytes);
};

// How a request ended, for logs and counters.
enum class ExchangeEnd
{
  Served,
  RunnerFailure,
  Refused,
  Rejected,
  Failed,
  BrokenOff,
  CallerLeft,
};

inline constexpr std::array<EnumName<ExchangeEnd>, 7> kExchangeEndNames{ {
  { ExchangeEnd::Served, "served" },
  { ExchangeEnd::RunnerFailure, "runner-failure" },
  { ExchangeEnd::Refused, "refused" },
  { ExchangeEnd::Rejected, "rejected" },
  { ExchangeEnd::Failed, "failed" },
  { ExchangeEnd::BrokenOff, "broken-off" },
  { ExchangeEnd::CallerLeft, "caller-left" },
} };

// The status with which a runner answers a request that is for another one.
inline constexpr int kMisdirectedStatus = 421;

// How far an attempt has got.
enum class AttemptProgress
{
  // The runner has not answered.
  Waiting,
  // The head of the answer has arrived, but no event or body.
  Started,
  Streaming,
};

inline constexpr std::array<EnumName<AttemptProgress>, 3> kAttemptProgressNames{
  {
    { AttemptProgress::Waiting, "waiting" },
    { AttemptProgress::Started, "started" },
    { AttemptProgress::Streaming, "streaming" },
  }
};

// One request sent to one runner.
struct Attempt
{
  std::string mRunner;
  std::string mVersion;
  ServerProcess mProcess;
  // The id that a crash of the runner's process would have.
  std::uint64_t mCrash = 0;
  PlacementRequest mPlacementRequest;
  Placement mPlacement;
  std::shared_ptr<ClientLink> mLink;
  TimeMs mSentMs = 0;
  // The runner was asked to go on after an event that the caller has got in
  // this answer.
  bool mIsResumed = false;
  bool mHeadReceived = false;
  // The runner has answered beyond the head, so that the request does not crash
  // it.
  bool mAnswered = false;
  // The answer is complete or the connection failed.
  bool mEnded = false;
  // While a roll-out is under way: the expected time to the head of the answer
  // at the baseline, and what has been counted for the version.
  double mReferenceMs = 0;
  bool mComparesDelays = false;
  bool mDelayCounted = false;
  bool mAnswerCounted = false;
  // Identifies the attempt in the runner's prefill queue.
  std::uint64_t mPrefillId = 0;
  HttpHead mHead;
  AnswerMetadata mMetadata;
  AnswerUse mUse = AnswerUse::Broken;
  std::string mBody;
  EventStream mStream;
  // Comments before the first event, which go with it.
  std::string mEarlyComments;
  StreamProgress mProgress;
  // For paced services: when the answer is expected to end, at the median, and
  // what admission decided.
  TimeMs mForecastEndMs = 0;
  std::string mDecision;
  // This stream was counted as a timeout of its runner.
  bool mSlowReported = false;
};

// Processes one request from its arrival to the end of its answer: admission,
// placement on a runner, retries and resumption. exchange.cpp holds the path to
// the runner, exchange_answer.cpp the path back to the caller,
// exchange_evidence.cpp what attempts show of runners, versions and prompts,
// and exchange_admission.cpp what is decided for paced services only.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(GatewayShared& aShared,
           IncomingRequest aRequest,
           std::shared_ptr<CallerLink> aCaller);

  void Start();
  // Whether the request is for aService and its attempt is at a runner of a
  // version other than aVersion.
  bool RunsOtherVersion(const std::string& aService,
                        const std::string& aVersion) const;
  // Ends the request if it holds what crashes runners and has not been
  // answered.
  void StopIfBlocked();
  // Ends the request as the process is about to be killed.
  void Abandon();

private:
  bool Admit();
  bool CheckForShutdown(TimeMs aLimitMs);
  bool CheckForSuspects();
  void FailAsBlocked();
  void ChooseInitialModel();
  PlacementRequest MakePlacementRequest(const std::string& aModel,
                                        bool aFallback) const;
  tl::expected<Placement, PlacementFailure> FindPlacement(
    const std::string& aModel,
    PlacementRequest& aPlacementRequest) const;
  void Place();
  void WaitForRunner(PlacementFailure aFailure,
                     const PlacementRequest& aPlacementRequest);
  void Send(PlacementRequest aPlacementRequest, const Placement& aPlacement);

  bool IsPacedService() const;
  double EstimateOutputTokens() const;
  CompletionForecast MakeForecast(const PlacementRequest& aPlacementRequest,
                                  const Placement& aPlacement) const;
  std::string ListedModel(const std::string& aModel) const;
  double EstimateTokenMs(const std::string& aModel,
                         const Placement& aPlacement) const;
  PoolOption MakePoolOption(const PlacementRequest& aPlacementRequest,
                            const Placement& aPlacement) const;
  PoolState UpdatePool();
  bool AdmitToPool(PlacementRequest& aPlacementRequest, Placement& aPlacement);
  int UrgencyRank() const;
  bool IsCustomerOverShare();
  int PacedPriority(const Placement& aPlacement);
  bool EscalatePaced();
  bool ShouldMove();
  void OnPacedSent();
  void OnPacedEvents();
  void OnFirstEventObserved(const Attempt& aAttempt);
  void OnPacedAnswer();
  void OnPacedEnd(const Attempt& aAttempt);
  void StartAnswerTimer();
  bool TryAcquireAttempt();
  PrefillSpeed& FindOrAddPrefillSpeed(const std::string& aModel) const;

  void OnHead(const HttpHead& aHead);
  void ApplyRunnerHeaders();
  void OnBody(std::string_view aBytes);
  void OnEnd(bool aReusable);
  void OnLinkFailed(LinkFailure aFailure);
  void OnAnswerTimeout();
  void OnDeadline();
  void OnCallerClosed();
  bool EscalateModel();
  void CountAsRun();
  void UpdateEstimates();
  void LearnTokenSpeed();
  void CountPrefixDecision();
  void StartVerdictTimer();
  void OnVerdictTimer();
  void CountDelay(bool aIsDelayed);
  VersionShift* FindActiveShift() const;
  bool IsAtTarget() const;
  AnswerUse ChooseUse(const HttpHead& aHead) const;
  void StartAnswer();
  void ForwardEvents(std::vector<StreamEvent> aEvents);
  bool MigrateIfSlow();
  StreamPace& FindOrAddPace() const;
  void ForwardFailure();
  void OnRunnerOutcome(RunnerOutcome aOutcome);
  void OnVersionAnswer(AnswerResult aAnswer);
  void OnRunnerAnswered();
  CrashCandidate MakeCrashCandidate(const Attempt& aAttempt) const;
  bool TryBuffer(std::string_view aBytes);
  void EndAttempt();
  void RetryOrFail(std::string_view aReason);
  void FailRequest(std::string_view aReason, bool aIsTimeUp = false);
  void Refuse(std::string_view aReason, std::optional<TimeMs> aRetryAfterMs);
  TimeMs RetryAfterMs();
  void Reject(int aStatus, std::string_view aReason);
  void End(ExchangeEnd aEnd, int aStatus, std::string_view aReason);

  bool IsRepeatable() const;
  bool IsStream() const { return mRoute->mKind == RouteKind::Stream; }
  TimeMs Now() const { return mShared.mLoop.NowMs(); }
  TimeMs RemainingMs() const { return mDeadlineMs - Now(); }

  GatewayShared& mShared;
  // Its body does not change, as links refer to it.
  const IncomingRequest mRequest;
  std::shared_ptr<CallerLink> mCaller;
  RequestMetadata mMetadata;
  std::shared_ptr<const RouteTable> mTable;
  const Route* mRoute = nullptr;
  std::shared_ptr<const RouteCustomer> mCustomer;
  std::string mService;
  RequestContents mContents;
  // The request holds a suspect that is blocked at present; it runs once, to
  // find out whether that still crashes runners.
  bool mIsTrial = false;
  bool mIsBlocked = false;
  // When a runner is expected to take the request, for the answer that refuses
  // it.
  std::optional<TimeMs> mEarliestReturnMs;
  // A hash of the session, or else of the request's id, in [0, 1); compared
  // with the target version's share of the requests.
  double mVersionPoint = 0;
  // What admission decided on the placement that is sent next.
  std::string mDecision;
  // The model chosen by the gateway; empty unless the caller left the choice
  // open.
  std::string mModel;
  TimeMs mArrivedMs = 0;
  TimeMs mDeadlineMs = 0;
  TimeMs mPlacementStartMs = 0;
  // Runners that placement leaves out; cleared when each was tried once.
  std::set<std::string> mTriedRunners;
  // The addresses of all runners to which the request was sent.
  std::set<std::string> mSentAddresses;
  int mAttemptCount = 0;
  // A runner may have started to execute the request.
  bool mMayHaveRun = false;
  bool mDone = false;
  // The request was counted for the usage report.
  bool mCountedAsRun = false;
  std::optional<std::int64_t> mLastEventId;
  bool mAnswerStarted = false;
  // Status and content type of the head that the caller got, once the answer
  // has started.
  int mStartedStatus = 0;
  std::string mStartedType;
  // Time from the request's arrival to the first byte of its streamed answer;
  // 0 before that.
  TimeMs mFirstByteMs = 0;
  // Head and body of the last runner's error answer, which is forwarded when
  // no attempt succeeds.
  std::optional<std::pair<HttpHead, std::string>> mRunnerFailure;
  std::unique_ptr<Attempt> mAttempt;
  Timer mDeadlineTimer;
  Timer mAnswerTimer;
  Timer mVerdictTimer;
  Timer mRetryTimer;
};

} // namespace savory
