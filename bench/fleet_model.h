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

// How requests are placed: by the core functions, by a baseline on reported
// load, or by one queue that sees every backend server's true state.
enum class Policy
{
  Core,
  RoundRobin,
  Random,
  LeastReported,
  PowerOfTwo,
  Perfect,
};

// A customer of the model. The rate is in requests per second; the sessions
// are those it keeps open at a time.
struct ModelCustomer
{
  std::string mName;
  double mWeight = 1;
  double mRequestsPerSecond = 1;
  int mPriority = 1;
  int mOpenSessions = 20;
};

// The parameters of a fleet. Times are milliseconds, sizes are tokens. One
// prompt block is 256 tokens.
struct FleetOptions
{
  Policy mPolicy = Policy::Core;
  std::uint64_t mSeed = 1;
  int mBackendCount = 12;
  int mZoneCount = 3;
  int mEntryCount = 3;
  double mZoneLatencyMs = 0.5;
  int mConcurrency = 16;
  double mPrefillMsPerToken = 0.25;
  double mDecodeMsPerToken = 12;
  double mColdSlowdown = 3;
  std::size_t mCacheCapacityBlocks = 2500;
  std::int64_t mTokenCapacity = 0;
  int mMaxSessionBlocks = 24;
  double mReportIntervalMs = 1000;
  double mReportDelayMs = 200;
  double mCacheEventDelayMs = 500;
  double mCacheEventLossRate = 0.2;
  double mGossipIntervalMs = 500;
  double mDurationMs = 120000;
  double mDeadlineMs = 30000;
  double mResendDelayMs = 0;
  int mMaxResends = 0;
  double mSlowCallerRatio = 0;
  double mOutputEstimateError = 0;
  double mNoAnswerRatio = 0;
  bool mCrashesOnOverload = false;
  bool mLimitsEnabled = true;
  bool mMemoryCheckEnabled = true;
  bool mZoneStepsEnabled = true;
  bool mWarmupEnabled = true;
  bool mStartCold = false;
  BalancerOptions mBalancer;
  LimitsOptions mLimitsOptions;
  std::vector<ModelCustomer> mCustomers;
};

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
  double mCreatedMs = 0;
  double mArrivedMs = 0;
  double mStartedMs = 0;
  double mPrefillMs = 0;
  double mServiceMs = 0;
  int mResendCount = 0;
  int mAttemptCount = 0;
  int mBackend = -1;
  int mWarmupGeneration = 0;
  int mRestartCount = 0;
  bool mSlowCaller = false;
  bool mFirstTokenSent = false;
  bool mEnded = false;
  std::vector<std::string> mTriedAgents;
};

using JobPtr = std::shared_ptr<Job>;

// A backend server with batching, a prefix cache and its agent. `mServed`
// counts answers since its start: it truly carries 1 + mServed requests at a
// time until it is warm, whatever its agent believes.
struct ModelBackend
{
  std::string mAddress;
  std::string mZone;
  int mRestartCount = 0;
  int mAnswerCount = 0;
  bool mZoneOut = false;
  std::unordered_map<std::string, JobPtr> mRunning;
  std::deque<JobPtr> mFifoQueue;
  std::unordered_map<std::string, JobPtr> mQueued;
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
  std::vector<int> mReportedLoad;
  std::size_t mNextBackend = 0;
};

// What a run of the model shows. First tokens are (time of arrival, time to
// first token); tokens are those of whole answers within the deadline.
struct FleetOutcome
{
  std::vector<std::pair<double, double>> mFirstTokens;
  std::vector<double> mCustomerTokens;
  std::vector<std::pair<double, double>> mRefusals;
  std::vector<std::pair<double, std::string>> mStartZones;
  double mGoodputTokens = 0;
  double mPromptBlocks = 0;
  double mCachedPromptBlocks = 0;
  double mBusyMs = 0;
  std::int64_t mFinished = 0;
  std::int64_t mFinishedLate = 0;
  std::int64_t mRefused = 0;
  std::int64_t mAbandoned = 0;
  std::int64_t mColdViolations = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mCancelled = 0;
  std::uint64_t mDecisionHash = 0;
};

class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);

  // Calls back at a time of the model.
  void ScheduleAt(double aMs, std::function<void()> aAction);

  // Runs the model to its end and gives the outcome; arrivals before
  // `aFromMs` warm the model up and are not part of it.
  FleetOutcome Run(double aMeasureFromMs);

  // Sets a zone's state at every entry after `aDelayMs`; a zone that returns
  // comes back with restarted backend servers.
  void SetZone(const std::string& aZone, ZoneState aState, double aDelayMs);

  // Restarts a backend server; its connections break.
  void Restart(std::size_t aBackend);

  // Makes a backend server cold again with nothing that shows it but its
  // times: the requests it runs go on.
  void MakeCold(std::size_t aBackend);

  double Now() const { return mNowMs; }
  std::vector<ModelBackend>& Backends() { return mBackends; }

private:
  struct Event
  {
    double mMs;
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
  double Latency(std::size_t aEntry, std::size_t aBackend) const;
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
  std::size_t CachedBlocks(const ModelBackend& aBackend, const Job& aJob) const;
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

// The fleets of the two operators, with customers whose rates sum to
// `aRate` requests per second.
FleetOptions
MakeGulfwayFleet(double aRate);
FleetOptions
MakeBengalFleet(double aRate);

// The request rate that is the share `aLoad` of what a fleet with perfect
// placement completes when it is offered far more.
double
EstimateRateAtLoad(FleetOptions aOptions, double aLoad);

// Multiplies every customer's rate.
void
ScaleRates(FleetOptions& aOptions, double aFactor);

// A line with its unit and goals, to be filled with values.
Metric
MakeMetric(std::string aName,
           std::string aUnit,
           Direction aDirection,
           std::optional<double> aTarget,
           std::optional<double> aBound = std::nullopt);

// The value below which the share `aShare` of the values lies.
double
Quantile(std::vector<double> aValues, double aShare);

// Quantile of the times to first token of arrivals in a span of time.
double
FirstTokenQuantile(const FleetOutcome& aOutcome,
                   double aShare,
                   double aFromMs = 0,
                   double aToMs = 1e18);

} // namespace savory::bench
