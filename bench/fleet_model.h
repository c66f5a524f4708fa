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
  double mRate = 1;
  int mPriority = 1;
  int mSessions = 20;
};

// The parameters of a fleet. Times are milliseconds, sizes are tokens. One
// prompt block is 256 tokens.
struct FleetOptions
{
  Policy mPolicy = Policy::Core;
  std::uint64_t mSeed = 1;
  int mBackends = 12;
  int mZones = 3;
  int mEntries = 3;
  double mZoneLatencyMs = 0.5;
  int mConcurrency = 16;
  double mPrefillMs = 0.25;
  double mDecodeMs = 12;
  double mColdFactor = 3;
  std::size_t mCacheBlocks = 2500;
  std::int64_t mTokenCapacity = 0;
  int mMaxBlocks = 24;
  double mReportEveryMs = 1000;
  double mReportLagMs = 200;
  double mEventLagMs = 500;
  double mEventLoss = 0.2;
  double mGossipEveryMs = 500;
  double mDurationMs = 120000;
  double mDeadlineMs = 30000;
  double mResendAfterMs = 0;
  int mMaxResends = 0;
  double mSlowCallers = 0;
  double mOutputSpread = 0;
  double mNoAnswerShare = 0;
  bool mFallsOver = false;
  bool mLimits = true;
  bool mMemoryCheck = true;
  bool mZoneSteps = true;
  bool mWarmup = true;
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
  std::int64_t mInput = 0;
  std::int64_t mOutput = 0;
  std::int64_t mReserved = 0;
  std::uint64_t mFingerprint = 0;
  double mCreatedMs = 0;
  double mArrivedMs = 0;
  double mStartedMs = 0;
  double mPrefillMs = 0;
  double mServiceMs = 0;
  int mResends = 0;
  int mAttempt = 0;
  int mBackend = -1;
  int mGeneration = 0;
  int mLife = 0;
  bool mSlow = false;
  bool mFirst = false;
  bool mLeft = false;
  std::vector<std::string> mTried;
};

using JobPtr = std::shared_ptr<Job>;

// A backend server with batching, a prefix cache and its agent. `mServed`
// counts answers since its start: it truly carries 1 + mServed requests at a
// time until it is warm, whatever its agent believes.
struct ModelBackend
{
  std::string mAddress;
  std::string mZone;
  int mLife = 0;
  int mServed = 0;
  bool mZoneOut = false;
  std::unordered_map<std::string, JobPtr> mRunning;
  std::deque<JobPtr> mFifo;
  std::unordered_map<std::string, JobPtr> mQueued;
  std::list<std::uint64_t> mLru;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mCache;
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
  std::vector<int> mReported;
  std::size_t mNext = 0;
};

// What a run of the model shows. First tokens are (time of arrival, time to
// first token); tokens are those of whole answers within the deadline.
struct FleetOutcome
{
  std::vector<std::pair<double, double>> mFirstTokens;
  std::vector<double> mCustomerTokens;
  std::vector<std::pair<double, double>> mRefusedAt;
  std::vector<std::pair<double, std::string>> mStartedIn;
  double mTokens = 0;
  double mBlocks = 0;
  double mHits = 0;
  double mBusy = 0;
  std::int64_t mFinished = 0;
  std::int64_t mLate = 0;
  std::int64_t mRefused = 0;
  std::int64_t mGivenUp = 0;
  std::int64_t mColdViolations = 0;
  std::int64_t mFellOver = 0;
  std::int64_t mCancelled = 0;
  std::uint64_t mDecisions = 0;
};

class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);

  // Calls back at a time of the model.
  void At(double aMs, std::function<void()> aAction);

  // Runs the model to its end and gives the outcome; arrivals before
  // `aFromMs` warm the model up and are not part of it.
  FleetOutcome Run(double aFromMs);

  // Sets a zone's state at every entry after `aDelayMs`; a zone that returns
  // comes back with restarted backend servers.
  void SetZone(const std::string& aZone, ZoneState aState, double aDelayMs);

  // Restarts a backend server; its connections break.
  void Restart(std::size_t aBackend);

  // Makes a backend server cold again with nothing that shows it but its
  // times: the requests it runs go on.
  void MakeCold(std::size_t aBackend);

  double Now() const { return mNow; }
  std::vector<ModelBackend>& Backends() { return mBackends; }

private:
  struct Event
  {
    double mMs;
    std::uint64_t mOrder;
    std::function<void()> mAction;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };
  struct Session
  {
    std::vector<std::uint64_t> mBlocks;
  };

  TimeMs NowMs() const { return static_cast<TimeMs>(mNow); }
  double Uniform();
  double Latency(std::size_t aEntry, std::size_t aBackend) const;
  void Decide(std::string_view aWhat);
  bool Counts(const Job& aJob) const;

  void ScheduleArrival(std::size_t aCustomer);
  JobPtr MakeJob(std::size_t aCustomer);
  void Arrive(const JobPtr& aJob);
  void Refuse(const JobPtr& aJob);
  void Pump(std::size_t aEntry);
  bool Dispatch(const JobPtr& aJob);
  void Send(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue);
  void ArriveAtAgent(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue);
  void PlaceBaseline(const JobPtr& aJob);
  void PumpPerfect();
  void PumpFifo(std::size_t aBackend);
  void PollAgent(std::size_t aBackend);
  void Start(const JobPtr& aJob, std::size_t aBackend);
  void FirstToken(const JobPtr& aJob);
  void Finish(const JobPtr& aJob);
  void Leave(const JobPtr& aJob);
  void FallOver(std::size_t aBackend);
  std::size_t CachedBlocks(const ModelBackend& aBackend, const Job& aJob) const;
  void Store(std::size_t aBackend, const Job& aJob);
  void ReportFrom(std::size_t aBackend, std::optional<double> aLagMs = {});
  void Gossip();
  void CheckMemory();

  FleetOptions mOptions;
  RandomEngine mRandom;
  double mNow = 0;
  double mFromMs = 0;
  std::uint64_t mOrder = 0;
  std::uint64_t mJobs = 0;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  std::vector<ModelBackend> mBackends;
  std::vector<ModelEntry> mEntries;
  std::vector<std::vector<Session>> mSessions;
  std::deque<JobPtr> mCentral;
  std::vector<Zone> mZones;
  Preset mPreset;
  FleetOutcome mOutcome;
};

// The fleets of the two operators, with customers whose rates sum to
// `aRate` requests per second.
FleetOptions
GulfwayFleet(double aRate);
FleetOptions
BengalFleet(double aRate);

// The request rate that is the share `aLoad` of what a fleet with perfect
// placement completes when it is offered far more.
double
RateAtLoad(FleetOptions aOptions, double aLoad);

// Multiplies every customer's rate.
void
ScaleRates(FleetOptions& aOptions, double aFactor);

// A line with its unit and goals, to be filled with values.
Line
MakeLine(std::string aName,
         std::string aUnit,
         Better aBetter,
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
