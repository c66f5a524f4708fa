#pragma once

#include "results.h"

#include "savory/core/admission.h"
#include "savory/core/balancer.h"
#include "savory/core/limits.h"
#include "savory/core/warmup.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory::bench {

// How requests are assigned to backend servers: by the core functions, by a
// baseline policy, of which LeastReported and PowerOfTwo use the last reported
// load, or by one central queue that sees the true state of every backend
// server (Perfect, the bound).
enum class Policy
{
  Core,
  RoundRobin,
  Random,
  LeastReported,
  PowerOfTwo,
  Perfect,
};

// A customer and its traffic. It keeps mOpenSessions sessions open at a time.
struct ModelCustomer
{
  std::string mName;
  double mWeight = 1;
  double mRequestsPerSecond = 1;
  int mPriority = 1;
  int mOpenSessions = 20;
};

// Configuration of a simulated fleet. A prompt block holds 256 tokens.
struct FleetOptions
{
  Policy mPolicy = Policy::Core;
  std::uint64_t mSeed = 1;
  int mBackendCount = 12;
  int mZoneCount = 3;
  int mEntryCount = 3;
  // Network latency between zones. Within a zone it is 0.1 ms.
  double mZoneLatencyMs = 0.5;
  // Requests that a warm backend server runs at once.
  int mConcurrency = 16;
  // Times of a request that runs alone; a full batch takes nearly 1.5 times
  // as long.
  double mPrefillMsPerToken = 0.25;
  double mDecodeMsPerToken = 12;
  // Factor on the prefill time of a backend server that has completed fewer
  // than mConcurrency requests.
  double mColdSlowdown = 3;
  // Prompt blocks that the prefix cache of a backend server holds.
  std::size_t mCacheCapacityBlocks = 2500;
  // Tokens that fit into the memory of a backend server. 0: not limited.
  std::int64_t mTokenCapacity = 0;
  // Prompt blocks after which a session is replaced by a new one.
  int mMaxSessionBlocks = 24;
  // Interval between the reports of one agent, and delay until the entries
  // apply a report.
  double mReportIntervalMs = 1000;
  double mReportDelayMs = 200;
  // Delay of the events of prefix caches, and the share of events lost.
  double mCacheEventDelayMs = 500;
  double mCacheEventLossRate = 0.2;
  double mGossipIntervalMs = 500;
  double mDurationMs = 120000;
  double mDeadlineMs = 30000;
  // A caller resends a refused request this long after it got the refusal, at
  // most mMaxResends times.
  double mResendDelayMs = 0;
  int mMaxResends = 0;
  // Share of callers that read slowly: their answers take 4 times as long to
  // decode.
  double mSlowCallerRatio = 0;
  // Largest relative error of the estimate of output tokens, in either
  // direction.
  double mOutputEstimateError = 0;
  double mNoAnswerRatio = 0;
  // A backend server crashes when it starts more requests than it can run.
  bool mCrashesOnOverload = false;
  bool mLimitsEnabled = true;
  // Agents admit requests only within mTokenCapacity.
  bool mMemoryCheckEnabled = true;
  bool mZoneStepsEnabled = true;
  bool mWarmupEnabled = true;
  // All backend servers start cold, and their agents know it.
  bool mStartCold = false;
  BalancerOptions mBalancer;
  LimitsOptions mLimitsOptions;
  std::vector<ModelCustomer> mCustomers;
};

// One request of a caller. A resent request is a copy with the same mId.
struct Job
{
  std::string mId;
  std::size_t mCustomer = 0;
  std::size_t mEntry = 0;
  std::vector<std::uint64_t> mPrefix;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::int64_t mReservedOutputTokens = 0;
  std::uint64_t mFingerprint = 0;
  // When the caller first sent the request, when the last attempt arrived at an
  // entry, and when it started at a backend server.
  double mCreatedMs = 0;
  double mArrivedMs = 0;
  double mStartedMs = 0;
  // Time to first token and to the end of the answer, from mStartedMs.
  double mPrefillMs = 0;
  double mServiceMs = 0;
  int mResendCount = 0;
  int mAttemptCount = 0;
  int mBackend = -1;
  // State of the backend server when it started the request.
  int mWarmupGeneration = 0;
  int mRestartCount = 0;
  bool mSlowCaller = false;
  bool mFirstTokenSent = false;
  bool mEnded = false;
  std::vector<std::string> mTriedAgents;
};

using JobPtr = std::shared_ptr<Job>;

// A backend server with batching, a prefix cache and its agent. mAnswerCount
// counts answers since the last start: until the server is warm it can run
// 1 + mAnswerCount requests at once, whatever its agent estimates.
struct ModelBackend
{
  std::string mAddress;
  std::string mZone;
  int mRestartCount = 0;
  int mAnswerCount = 0;
  bool mZoneOut = false;
  std::unordered_map<std::string, JobPtr> mRunning;
  // Queue of the baseline policies; mQueued is the one of the core functions.
  std::deque<JobPtr> mFifoQueue;
  std::unordered_map<std::string, JobPtr> mQueued;
  // Blocks of the prefix cache, most recently used first, and the position of
  // each block in that list.
  std::list<std::uint64_t> mLruBlocks;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    mCachedBlocks;
  Admission mAdmission;
  Warmup mWarmup;
  WarmupOptions mWarmupOptions;
  AdmissionOptions mAdmissionOptions;
};

struct ModelEntry
{
  Balancer mBalancer;
  Limits mLimits;
  RandomEngine mRandom;
  std::unordered_map<std::string, JobPtr> mWaiting;
  // Last reported requests of each backend server, for the baseline policies.
  std::vector<int> mReportedLoad;
  std::size_t mNextBackend = 0;
};

// Results of a run. All but mCancelled and mDecisionHash cover only the time
// from the start of the measurement.
struct FleetOutcome
{
  // Time of arrival and time to first token, in milliseconds.
  std::vector<std::pair<double, double>> mFirstTokens;
  // Input and output tokens of complete answers within the deadline, by
  // customer. For Policy::Perfect the deadline does not matter.
  std::vector<double> mCustomerTokens;
  // Time of the refusal, and time when the request was first sent.
  std::vector<std::pair<double, double>> mRefusals;
  // Start time of a request, and zone of its backend server.
  std::vector<std::pair<double, std::string>> mStartZones;
  // Sum of mCustomerTokens.
  double mGoodputTokens = 0;
  // Prompt blocks of started requests, and those found in the prefix cache.
  double mPromptBlocks = 0;
  double mCachedPromptBlocks = 0;
  // Sum of the times that requests spent running.
  double mBusyMs = 0;
  std::int64_t mFinished = 0;
  std::int64_t mFinishedLate = 0;
  std::int64_t mRefused = 0;
  // Refused requests that were not resent any more.
  std::int64_t mAbandoned = 0;
  // Requests started beyond the number that the backend server could run.
  std::int64_t mColdViolations = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mCancelled = 0;
  // Hash of all decisions of the core functions.
  std::uint64_t mDecisionHash = 0;
};

// Discrete-event simulation of entries, agents and backend servers.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);

  // Calls aAction at a simulated time.
  void ScheduleAt(double aTimeMs, std::function<void()> aAction);

  // Runs the simulation to its end and returns the results. Arrivals before
  // aMeasureFromMs fill queues and caches and are not measured.
  FleetOutcome Run(double aMeasureFromMs);

  // Sets a zone's state at every entry and backend server, each after a random
  // delay of up to aDelayMs. The backend servers of a returning zone restart.
  void SetZone(const std::string& aZone, ZoneState aState, double aDelayMs);

  // Restarts a backend server. Its running requests are lost and its agent
  // sees a new incarnation.
  void Restart(std::size_t aBackend);

  // Makes a backend server cold without a restart: running requests continue,
  // and its agent can notice it only by the time to first token.
  void MakeCold(std::size_t aBackend);

  double Now() const { return mNowMs; }
  std::vector<ModelBackend>& Backends() { return mBackends; }

private:
  struct Event
  {
    double mTimeMs;
    std::uint64_t mOrder;
    std::function<void()> mAction;
  };
  struct LaterEvent
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };
  struct Session
  {
    std::vector<std::uint64_t> mBlocks;
  };

  TimeMs NowMs() const { return static_cast<TimeMs>(mNowMs); }
  double Uniform();
  double LatencyMs(std::size_t aEntry, std::size_t aBackend) const;
  void RecordDecision(std::string_view aDecision);
  bool IsMeasured(const Job& aJob) const;

  void ScheduleArrival(std::size_t aCustomer);
  JobPtr MakeJob(std::size_t aCustomer);
  void OnArrival(const JobPtr& aJob);
  void Refuse(const JobPtr& aJob);
  void DispatchQueued(std::size_t aEntry);
  bool Dispatch(const JobPtr& aJob);
  void Send(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue);
  void OnAgentArrival(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue);
  void PlaceBaseline(const JobPtr& aJob);
  void DispatchCentralQueue();
  void StartFromFifo(std::size_t aBackend);
  void PollAgent(std::size_t aBackend);
  void Start(const JobPtr& aJob, std::size_t aBackend);
  void OnFirstTokenSent(const JobPtr& aJob);
  void Finish(const JobPtr& aJob);
  void EndAttempt(const JobPtr& aJob);
  void Crash(std::size_t aBackend);
  std::size_t CountCachedBlocks(const ModelBackend& aBackend,
                                const Job& aJob) const;
  void StorePrefix(std::size_t aBackend, const Job& aJob);
  void SendReport(std::size_t aBackend, std::optional<double> aDelayMs = {});
  void SendGossip();
  void CheckMemory();

  FleetOptions mOptions;
  RandomEngine mRandom;
  double mNowMs = 0;
  double mMeasureFromMs = 0;
  std::uint64_t mNextEventOrder = 0;
  std::uint64_t mNextJobId = 0;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> mEventQueue;
  std::vector<ModelBackend> mBackends;
  std::vector<ModelEntry> mEntries;
  std::vector<std::vector<Session>> mSessions;
  std::deque<JobPtr> mCentralQueue;
  std::vector<Zone> mZones;
  Preset mPreset;
  FleetOutcome mOutcome;
};

// The fleets of the two operators, with customers whose rates sum to aRate
// requests per second.
FleetOptions
MakeGulfwayFleet(double aRate);
FleetOptions
MakeBengalFleet(double aRate);

// The request rate, in requests per second, at the utilization aLoad. The
// capacity is the rate at which a fleet with Policy::Perfect completes requests
// when it is offered 3 times the rates of aOptions.
double
EstimateRateAtLoad(FleetOptions aOptions, double aLoad);

// Multiplies every customer's rate.
void
ScaleRates(FleetOptions& aOptions, double aFactor);

// A metric without values.
Metric
MakeMetric(std::string aName,
           std::string aUnit,
           Direction aDirection,
           std::optional<double> aTarget,
           std::optional<double> aBound = std::nullopt);

// The quantile of the values at aLevel, in [0, 1]; 0 without values.
double
Quantile(std::vector<double> aValues, double aLevel);

// Quantile of the times to first token of requests that arrived in
// [aFromMs, aToMs).
double
FirstTokenQuantile(const FleetOutcome& aOutcome,
                   double aLevel,
                   double aFromMs = 0,
                   double aToMs = 1e18);

} // namespace savory::bench
