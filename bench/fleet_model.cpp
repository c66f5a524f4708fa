#include "fleet_model.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <cmath>

namespace savory::bench {

namespace {

constexpr std::int64_t kBlockTokens = 256;

// Round trip between a caller and its entry.
constexpr double kCallerRoundTripMs = 6;

const std::string kVersion = "medium@1";
const std::string kPool = "pool";

} // namespace

bool
Fleet::LaterEvent::operator()(const Event& aLeft, const Event& aRight) const
{
  return aLeft.mTimeMs != aRight.mTimeMs ? aLeft.mTimeMs > aRight.mTimeMs
                                         : aLeft.mOrder > aRight.mOrder;
}

Fleet::Fleet(const FleetOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int i = 0; i < aOptions.mZoneCount; ++i) {
    mZones.push_back({ "zone-" + std::to_string(i), "region", ZoneState::In });
  }
  for (int i = 0; i < aOptions.mBackendCount; ++i) {
    ModelBackend backend;
    backend.mAddress = "agent-" + std::to_string(i);
    backend.mZone =
      mZones[static_cast<std::size_t>(i % aOptions.mZoneCount)].mName;
    backend.mAnswerCount = aOptions.mStartCold ? 0 : aOptions.mConcurrency;
    backend.mWarmupOptions.mFullAllowance = aOptions.mConcurrency;
    backend.mWarmupOptions.mEnabled = aOptions.mWarmupEnabled;
    backend.mWarmup.mAllowance =
      aOptions.mStartCold ? 1 : aOptions.mConcurrency;
    backend.mWarmup.mIncarnation = "0";
    backend.mAdmissionOptions.mTokenCapacity = aOptions.mTokenCapacity;
    backend.mAdmissionOptions.mCheckMemory = aOptions.mMemoryCheckEnabled;
    backend.mAdmission.mMeanServiceMs = 3000;
    mBackends.push_back(std::move(backend));
  }
  std::vector<Customer> customers;
  for (const auto& customer : aOptions.mCustomers) {
    Customer configured;
    configured.mName = customer.mName;
    configured.mWeight = customer.mWeight;
    configured.mPriority = customer.mPriority;
    customers.push_back(configured);
  }
  mSessions.resize(customers.size());
  for (int i = 0; i < aOptions.mEntryCount; ++i) {
    ModelEntry entry;
    entry.mRandom.seed(aOptions.mSeed * 1000 + static_cast<std::uint64_t>(i));
    entry.mLimits.mEntry = "entry-" + std::to_string(i);
    entry.mBalancer.mLocalZone =
      mZones[static_cast<std::size_t>(i % aOptions.mZoneCount)].mName;
    ApplyZones(entry.mBalancer, mZones, -1000000);
    ApplyCustomers(entry.mLimits, aOptions.mLimitsOptions, customers, NowMs());
    entry.mReportedLoad.resize(mBackends.size());
    mEntries.push_back(std::move(entry));
  }
  mOutcome.mCustomerTokens.resize(customers.size());
}

double
Fleet::Uniform()
{
  return static_cast<double>(mRandom() >> 11) * 0x1.0p-53;
}

void
Fleet::ScheduleAt(double aTimeMs, std::function<void()> aAction)
{
  mEventQueue.push({ aTimeMs, mNextEventOrder++, std::move(aAction) });
}

double
Fleet::LatencyMs(std::size_t aEntry, std::size_t aBackend) const
{
  bool sameZone =
    mEntries[aEntry].mBalancer.mLocalZone == mBackends[aBackend].mZone;
  return sameZone ? 0.1 : mOptions.mZoneLatencyMs;
}

void
Fleet::RecordDecision(std::string_view aDecision)
{
  mOutcome.mDecisionHash = Hash64(aDecision, mOutcome.mDecisionHash);
}

bool
Fleet::IsMeasured(const Job& aJob) const
{
  return aJob.mCreatedMs >= mMeasureFromMs;
}

// Arrivals at the entries.

void
Fleet::ScheduleArrival(std::size_t aCustomer)
{
  double rate = mOptions.mCustomers[aCustomer].mRequestsPerSecond;
  double gapMs = -std::log(1 - Uniform()) * 1000 / std::max(1e-9, rate);
  if (mNowMs + gapMs < mOptions.mDurationMs) {
    ScheduleAt(mNowMs + gapMs, [this, aCustomer] {
      ScheduleArrival(aCustomer);
      OnArrival(MakeJob(aCustomer));
    });
  }
}

// Makes a request that is the next turn of a random session of the customer.
// The prompt has 4 blocks common to the customer, the history of the session
// and 2 new blocks. A session of mMaxSessionBlocks is replaced by a new one.
JobPtr
Fleet::MakeJob(std::size_t aCustomer)
{
  auto job = std::make_shared<Job>();
  job->mId = std::to_string(mNextJobId++);
  job->mCustomer = aCustomer;
  job->mEntry = mRandom() % mEntries.size();
  auto& sessions = mSessions[aCustomer];
  auto sessionCount =
    static_cast<std::size_t>(mOptions.mCustomers[aCustomer].mOpenSessions);
  // The initial sessions have random lengths. If all started empty, the load
  // would grow during the run.
  while (sessions.size() < sessionCount) {
    auto turns = mRandom() % static_cast<std::uint64_t>(
                               (mOptions.mMaxSessionBlocks - 4) / 2);
    sessions.emplace_back();
    for (std::uint64_t i = 0; turns > 0 && i < 4 + 2 * turns; ++i) {
      sessions.back().mBlocks.push_back(i < 4 ? (aCustomer + 1) * 100 + i
                                              : mRandom());
    }
  }
  auto& session = sessions[mRandom() % sessions.size()];
  if (session.mBlocks.size() >=
      static_cast<std::size_t>(mOptions.mMaxSessionBlocks)) {
    session.mBlocks.clear();
  }
  if (session.mBlocks.empty()) {
    for (std::uint64_t i = 0; i < 4; ++i) {
      session.mBlocks.push_back((aCustomer + 1) * 100 + i);
    }
  }
  session.mBlocks.push_back(mRandom());
  session.mBlocks.push_back(mRandom());
  job->mPrefix = session.mBlocks;
  job->mInputTokens =
    static_cast<std::int64_t>(job->mPrefix.size()) * kBlockTokens +
    static_cast<std::int64_t>(Uniform() * kBlockTokens);
  // An answer has 20 tokens and an exponentially distributed number more, on
  // average 60 for the half that is short and 360 for the others (reports).
  double mean = Uniform() < 0.5 ? 60 : 360;
  job->mOutputTokens =
    20 + static_cast<std::int64_t>(-std::log(1 - Uniform()) * mean);
  job->mOutputTokens = std::min<std::int64_t>(job->mOutputTokens, 1500);
  double estimateError =
    1 + mOptions.mOutputEstimateError * (2 * Uniform() - 1);
  job->mReservedOutputTokens = std::max<std::int64_t>(
    16,
    static_cast<std::int64_t>(static_cast<double>(job->mOutputTokens) *
                              estimateError));
  job->mSlowCaller = Uniform() < mOptions.mSlowCallerRatio;
  job->mFingerprint = mRandom();
  job->mCreatedMs = mNowMs;
  return job;
}

void
Fleet::OnArrival(const JobPtr& aJob)
{
  aJob->mArrivedMs = mNowMs;
  if (mOptions.mPolicy == Policy::Perfect) {
    mCentralQueue.push_back(aJob);
    DispatchCentralQueue();
    return;
  }
  if (mOptions.mPolicy != Policy::Core) {
    PlaceBaseline(aJob);
    return;
  }
  auto& entry = mEntries[aJob->mEntry];
  const auto& name = mOptions.mCustomers[aJob->mCustomer].mName;
  if (mOptions.mLimitsEnabled) {
    auto decision =
      CheckArrival(entry.mLimits,
                   mOptions.mLimitsOptions,
                   name,
                   aJob->mFingerprint,
                   aJob->mInputTokens + aJob->mReservedOutputTokens,
                   mPreset,
                   !entry.mWaiting.empty(),
                   NowMs());
    if (!decision.mAllowed) {
      RecordDecision(ToName(kErrorCodeNames, decision.mCode));
      Refuse(aJob);
      return;
    }
  }
  // A request that starts later would miss its deadline and only waste
  // capacity.
  double serviceMs = 1500 + static_cast<double>(aJob->mReservedOutputTokens) *
                              mOptions.mDecodeMsPerToken * 1.5;
  double latestStartMs = aJob->mArrivedMs + mOptions.mDeadlineMs - serviceMs;
  if (!Enqueue(entry.mLimits,
               mOptions.mLimitsOptions,
               name,
               { aJob->mId,
                 aJob->mInputTokens + aJob->mReservedOutputTokens,
                 static_cast<TimeMs>(latestStartMs) },
               NowMs())) {
    Refuse(aJob);
    return;
  }
  entry.mWaiting.emplace(aJob->mId, aJob);
  DispatchQueued(aJob->mEntry);
}

// Refuses a request. Its caller resends it after mResendDelayMs, up to
// mMaxResends times.
void
Fleet::Refuse(const JobPtr& aJob)
{
  if (IsMeasured(*aJob)) {
    ++mOutcome.mRefused;
    mOutcome.mRefusals.emplace_back(mNowMs, aJob->mCreatedMs);
  }
  if (aJob->mResendCount >= mOptions.mMaxResends) {
    mOutcome.mAbandoned += IsMeasured(*aJob) ? 1 : 0;
    return;
  }
  // A copy, since events of the earlier attempt may still be scheduled.
  auto resent = std::make_shared<Job>(*aJob);
  ++resent->mResendCount;
  resent->mTriedAgents.clear();
  resent->mAttemptCount = 0;
  resent->mEnded = false;
  resent->mFirstTokenSent = false;
  resent->mEntry = mRandom() % mEntries.size();
  ScheduleAt(mNowMs + kCallerRoundTripMs + mOptions.mResendDelayMs,
             [this, resent] { OnArrival(resent); });
}

// Placement by the core functions.

void
Fleet::DispatchQueued(std::size_t aEntry)
{
  auto& entry = mEntries[aEntry];
  while (true) {
    auto next = DequeueNext(entry.mLimits, mOptions.mLimitsOptions, NowMs());
    if (!next) {
      return;
    }
    auto job = entry.mWaiting.at(next->mRequest.mId);
    if (!Dispatch(job)) {
      Requeue(entry.mLimits, *next);
      return;
    }
    entry.mWaiting.erase(job->mId);
  }
}

bool
Fleet::Dispatch(const JobPtr& aJob)
{
  auto& entry = mEntries[aJob->mEntry];
  ChoiceRequest request;
  request.mPool = kPool;
  request.mVersion = kVersion;
  request.mPrefix = aJob->mPrefix;
  request.mTokens = aJob->mInputTokens + aJob->mReservedOutputTokens;
  request.mExcluded = aJob->mTriedAgents;
  auto choice = ChooseBackend(
    entry.mBalancer, mOptions.mBalancer, request, entry.mRandom, NowMs());
  if (choice.mCandidates.empty()) {
    return false;
  }
  const auto& best = choice.mCandidates.front().mAddress;
  RecordDecision(best);
  auto backend =
    static_cast<std::size_t>(std::stoi(best.substr(best.find('-') + 1)));
  ++aJob->mAttemptCount;
  Send(
    aJob, backend, choice.mCandidates.size() == 1 || aJob->mAttemptCount >= 4);
  return true;
}

void
Fleet::Send(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue)
{
  OnRequestSent(mEntries[aJob->mEntry].mBalancer,
                mOptions.mBalancer,
                mBackends[aBackend].mAddress,
                aJob->mInputTokens + aJob->mReservedOutputTokens,
                aJob->mPrefix,
                NowMs());
  ScheduleAt(mNowMs + LatencyMs(aJob->mEntry, aBackend),
             [this, aJob, aBackend, aMayQueue] {
               OnAgentArrival(aJob, aBackend, aMayQueue);
             });
}

void
Fleet::OnAgentArrival(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue)
{
  auto& backend = mBackends[aBackend];
  AdmissionRequest request;
  request.mId = aJob->mId;
  request.mCustomer = mOptions.mCustomers[aJob->mCustomer].mName;
  request.mInputTokens = aJob->mInputTokens;
  request.mOutputTokens = aJob->mReservedOutputTokens;
  request.mPriority = mOptions.mCustomers[aJob->mCustomer].mPriority;
  request.mWeight = mOptions.mCustomers[aJob->mCustomer].mWeight;
  request.mDeadlineMs =
    static_cast<TimeMs>(aJob->mArrivedMs + mOptions.mDeadlineMs);
  request.mMayQueue = aMayQueue;
  int allowance = Allowance(backend.mWarmup, backend.mWarmupOptions);
  AdmissionChanges changes;
  AdmissionDecision decision;
  if (backend.mZoneOut) {
    decision.mCode = ErrorCode::ZoneOut;
    decision.mLoad =
      MakeLoadHint(backend.mAdmission, backend.mAdmissionOptions, allowance);
  } else {
    decision = Admit(backend.mAdmission,
                     backend.mAdmissionOptions,
                     allowance,
                     IsCold(backend.mWarmup, backend.mWarmupOptions),
                     request,
                     NowMs(),
                     changes);
  }
  if (decision.mResult == AdmissionResult::Started) {
    Start(aJob, aBackend);
  } else if (decision.mResult == AdmissionResult::Queued) {
    aJob->mBackend = static_cast<int>(aBackend);
    backend.mQueued.emplace(aJob->mId, aJob);
  } else {
    RecordDecision(ToName(kErrorCodeNames, decision.mCode));
    ScheduleAt(
      mNowMs + LatencyMs(aJob->mEntry, aBackend),
      [this, aJob, aBackend, load = decision.mLoad] {
        auto& entry = mEntries[aJob->mEntry];
        const auto& address = mBackends[aBackend].mAddress;
        OnRequestEnded(entry.mBalancer,
                       address,
                       aJob->mInputTokens + aJob->mReservedOutputTokens);
        ApplyLoadHint(entry.mBalancer, address, load, NowMs());
        aJob->mTriedAgents.push_back(address);
        if (!Dispatch(aJob)) {
          aJob->mTriedAgents.clear();
          aJob->mAttemptCount = 0;
          entry.mWaiting.emplace(aJob->mId, aJob);
          double latestStartMs = aJob->mArrivedMs + mOptions.mDeadlineMs - 1500;
          Requeue(entry.mLimits,
                  { mOptions.mCustomers[aJob->mCustomer].mName,
                    { aJob->mId,
                      aJob->mInputTokens + aJob->mReservedOutputTokens,
                      static_cast<TimeMs>(latestStartMs) } });
        }
      });
  }
}

void
Fleet::PollAgent(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  for (const auto& [id, job] : backend.mRunning) {
    if (!job->mFirstTokenSent &&
        job->mWarmupGeneration == backend.mWarmup.mGeneration &&
        !IsCold(backend.mWarmup, backend.mWarmupOptions) &&
        LooksCold(backend.mWarmup,
                  backend.mWarmupOptions,
                  job->mInputTokens,
                  static_cast<TimeMs>(mNowMs - job->mStartedMs))) {
      ResetWarmup(backend.mWarmup, "wait for the first token");
      SendReport(aBackend);
      break;
    }
  }
  auto changes =
    PollAdmission(backend.mAdmission,
                  backend.mAdmissionOptions,
                  Allowance(backend.mWarmup, backend.mWarmupOptions),
                  IsCold(backend.mWarmup, backend.mWarmupOptions),
                  NowMs());
  for (const auto& started : changes.mStarted) {
    auto job = backend.mQueued.at(started.mId);
    backend.mQueued.erase(started.mId);
    Start(job, aBackend);
  }
  for (const auto& refused : changes.mRefused) {
    auto job = backend.mQueued.at(refused.mId);
    backend.mQueued.erase(refused.mId);
    OnRequestEnded(mEntries[job->mEntry].mBalancer,
                   backend.mAddress,
                   job->mInputTokens + job->mReservedOutputTokens);
    Refuse(job);
  }
  if (ConsumeCapacityNotice(
        backend.mAdmission,
        Allowance(backend.mWarmup, backend.mWarmupOptions))) {
    SendReport(aBackend, mOptions.mZoneLatencyMs);
  }
}

// Baseline policies, with FIFO queues at the backend servers.

void
Fleet::PlaceBaseline(const JobPtr& aJob)
{
  auto& entry = mEntries[aJob->mEntry];
  std::size_t count = mBackends.size();
  std::size_t best = 0;
  switch (mOptions.mPolicy) {
    case Policy::RoundRobin:
      best = entry.mNextBackend++ % count;
      break;
    case Policy::LeastReported:
      best =
        static_cast<std::size_t>(std::min_element(entry.mReportedLoad.begin(),
                                                  entry.mReportedLoad.end()) -
                                 entry.mReportedLoad.begin());
      break;
    case Policy::PowerOfTwo: {
      std::size_t other = entry.mRandom() % count;
      best = entry.mRandom() % count;
      if (entry.mReportedLoad[other] < entry.mReportedLoad[best]) {
        best = other;
      }
      break;
    }
    default:
      best = entry.mRandom() % count;
  }
  ScheduleAt(mNowMs + LatencyMs(aJob->mEntry, best), [this, aJob, best] {
    mBackends[best].mFifoQueue.push_back(aJob);
    StartFromFifo(best);
  });
}

void
Fleet::StartFromFifo(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  while (!backend.mFifoQueue.empty() &&
         backend.mRunning.size() <
           static_cast<std::size_t>(mOptions.mConcurrency)) {
    auto job = backend.mFifoQueue.front();
    backend.mFifoQueue.pop_front();
    Start(job, aBackend);
  }
}

// Policy::Perfect: the head of the central queue goes to the backend server
// with free capacity that has most of its prompt cached. Ties go to the server
// with most free capacity.
void
Fleet::DispatchCentralQueue()
{
  while (!mCentralQueue.empty()) {
    auto job = mCentralQueue.front();
    std::size_t best = mBackends.size();
    std::pair<std::size_t, std::size_t> bestRank{ 0, 0 };
    for (std::size_t i = 0; i < mBackends.size(); ++i) {
      const auto& backend = mBackends[i];
      auto limit = static_cast<std::size_t>(
        std::min(mOptions.mConcurrency, 1 + backend.mAnswerCount));
      if (backend.mZoneOut || backend.mRunning.size() >= limit) {
        continue;
      }
      std::pair rank{ CountCachedBlocks(backend, *job) + 1,
                      limit - backend.mRunning.size() };
      if (rank > bestRank) {
        bestRank = rank;
        best = i;
      }
    }
    if (best == mBackends.size()) {
      return;
    }
    mCentralQueue.pop_front();
    Start(job, best);
  }
}

// Backend servers.

std::size_t
Fleet::CountCachedBlocks(const ModelBackend& aBackend, const Job& aJob) const
{
  std::size_t cached = 0;
  while (cached < aJob.mPrefix.size() &&
         aBackend.mCachedBlocks.contains(aJob.mPrefix[cached])) {
    ++cached;
  }
  return cached;
}

// Stores a prompt in the prefix cache. The entries receive the cache events
// after mCacheEventDelayMs, except for the lost ones.
void
Fleet::StorePrefix(std::size_t aBackend, const Job& aJob)
{
  auto& backend = mBackends[aBackend];
  auto sendCacheEvent = [&](std::uint64_t aBlock, bool aStored) {
    if (mOptions.mPolicy != Policy::Core ||
        Uniform() < mOptions.mCacheEventLossRate) {
      return;
    }
    ScheduleAt(mNowMs + mOptions.mCacheEventDelayMs,
               [this, aBackend, aBlock, aStored] {
                 for (auto& entry : mEntries) {
                   OnCacheEvent(entry.mBalancer,
                                mOptions.mBalancer,
                                mBackends[aBackend].mAddress,
                                aBlock,
                                aStored,
                                NowMs());
                 }
               });
  };
  // The first block is used last, so that the end of a prompt is evicted before
  // its start.
  for (auto block = aJob.mPrefix.rbegin(); block != aJob.mPrefix.rend();
       ++block) {
    auto found = backend.mCachedBlocks.find(*block);
    if (found != backend.mCachedBlocks.end()) {
      backend.mLruBlocks.splice(
        backend.mLruBlocks.begin(), backend.mLruBlocks, found->second);
      continue;
    }
    backend.mLruBlocks.push_front(*block);
    backend.mCachedBlocks.emplace(*block, backend.mLruBlocks.begin());
    sendCacheEvent(*block, true);
    if (backend.mCachedBlocks.size() > mOptions.mCacheCapacityBlocks) {
      sendCacheEvent(backend.mLruBlocks.back(), false);
      backend.mCachedBlocks.erase(backend.mLruBlocks.back());
      backend.mLruBlocks.pop_back();
    }
  }
}

void
Fleet::Start(const JobPtr& aJob, std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  auto running = static_cast<int>(backend.mRunning.size());
  bool overLimit =
    running >= std::min(mOptions.mConcurrency, 1 + backend.mAnswerCount);
  aJob->mBackend = static_cast<int>(aBackend);
  aJob->mStartedMs = mNowMs;
  aJob->mWarmupGeneration = backend.mWarmup.mGeneration;
  aJob->mRestartCount = backend.mRestartCount;
  std::size_t cached = CountCachedBlocks(backend, *aJob);
  if (mNowMs >= mMeasureFromMs) {
    mOutcome.mPromptBlocks += static_cast<double>(aJob->mPrefix.size());
    mOutcome.mCachedPromptBlocks += static_cast<double>(cached);
    mOutcome.mColdViolations += overLimit ? 1 : 0;
    mOutcome.mStartZones.emplace_back(mNowMs, backend.mZone);
  }
  StorePrefix(aBackend, *aJob);
  double batchSlowdown = 1 + 0.5 * running / mOptions.mConcurrency;
  double coldSlowdown =
    backend.mAnswerCount < mOptions.mConcurrency ? mOptions.mColdSlowdown : 1.0;
  // Until its first answer, a cold backend server is 5 times slower still.
  if (backend.mAnswerCount == 0) {
    coldSlowdown *= 5;
  }
  double uncachedTokens = static_cast<double>(aJob->mInputTokens) -
                          static_cast<double>(cached * kBlockTokens);
  aJob->mPrefillMs = (20 + uncachedTokens * mOptions.mPrefillMsPerToken) *
                     batchSlowdown * coldSlowdown;
  double decodeMs = static_cast<double>(aJob->mOutputTokens) *
                    mOptions.mDecodeMsPerToken * batchSlowdown;
  if (aJob->mSlowCaller) {
    decodeMs *= 4;
  }
  aJob->mServiceMs = aJob->mPrefillMs + decodeMs;
  backend.mRunning.emplace(aJob->mId, aJob);
  ScheduleAt(mNowMs + aJob->mPrefillMs,
             [this, aJob] { OnFirstTokenSent(aJob); });
  ScheduleAt(mNowMs + aJob->mServiceMs, [this, aJob] { Finish(aJob); });
  if (overLimit && mOptions.mCrashesOnOverload) {
    Crash(aBackend);
  }
}

void
Fleet::OnFirstTokenSent(const JobPtr& aJob)
{
  if (aJob->mEnded) {
    return;
  }
  aJob->mFirstTokenSent = true;
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  if (IsMeasured(*aJob)) {
    double latencyMs = mOptions.mPolicy == Policy::Perfect
                         ? 2 * mOptions.mZoneLatencyMs
                         : LatencyMs(aJob->mEntry, index);
    mOutcome.mFirstTokens.emplace_back(aJob->mArrivedMs,
                                       mNowMs - aJob->mArrivedMs + latencyMs);
  }
  if (mOptions.mPolicy == Policy::Core &&
      OnFirstToken(backend.mWarmup,
                   backend.mWarmupOptions,
                   aJob->mWarmupGeneration,
                   aJob->mInputTokens,
                   static_cast<TimeMs>(mNowMs - aJob->mStartedMs))) {
    SendReport(index);
  }
}

// Removes a request from its backend server and from the load that the agent
// and the entry count.
void
Fleet::EndAttempt(const JobPtr& aJob)
{
  aJob->mEnded = true;
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  backend.mRunning.erase(aJob->mId);
  if (mNowMs > mMeasureFromMs) {
    mOutcome.mBusyMs += mNowMs - std::max(mMeasureFromMs, aJob->mStartedMs);
  }
  if (mOptions.mPolicy == Policy::Core) {
    OnRequestEnded(backend.mAdmission, aJob->mId, NowMs());
    OnRequestEnded(mEntries[aJob->mEntry].mBalancer,
                   backend.mAddress,
                   aJob->mInputTokens + aJob->mReservedOutputTokens);
  }
}

void
Fleet::Finish(const JobPtr& aJob)
{
  if (aJob->mEnded) {
    return;
  }
  EndAttempt(aJob);
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  ++backend.mAnswerCount;
  if (mNowMs >= mMeasureFromMs && mNowMs <= mOptions.mDurationMs) {
    if (mNowMs - aJob->mArrivedMs <= mOptions.mDeadlineMs ||
        mOptions.mPolicy == Policy::Perfect) {
      auto tokens =
        static_cast<double>(aJob->mInputTokens + aJob->mOutputTokens);
      mOutcome.mGoodputTokens += tokens;
      mOutcome.mCustomerTokens[aJob->mCustomer] += tokens;
    } else {
      ++mOutcome.mFinishedLate;
    }
    ++mOutcome.mFinished;
  }
  switch (mOptions.mPolicy) {
    case Policy::Perfect:
      DispatchCentralQueue();
      break;
    case Policy::Core:
      OnCompleted(
        backend.mWarmup, backend.mWarmupOptions, aJob->mWarmupGeneration);
      OnAnswered(mEntries[aJob->mEntry].mLimits,
                 mOptions.mLimitsOptions,
                 mOptions.mCustomers[aJob->mCustomer].mName,
                 aJob->mFingerprint,
                 NowMs());
      PollAgent(index);
      DispatchQueued(aJob->mEntry);
      break;
    default:
      StartFromFifo(index);
  }
}

// The backend server loses all running requests and its prefix cache, and
// restarts. Its agent sees the lost connections.
void
Fleet::Crash(std::size_t aBackend)
{
  mOutcome.mCrashes += mNowMs >= mMeasureFromMs ? 1 : 0;
  Restart(aBackend);
}

void
Fleet::Restart(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  ++backend.mRestartCount;
  MakeCold(aBackend);
  auto lost = backend.mRunning;
  for (const auto& [id, job] : lost) {
    EndAttempt(job);
    Refuse(job);
  }
  OnIncarnation(backend.mWarmup, std::to_string(backend.mRestartCount));
  SendReport(aBackend);
}

void
Fleet::MakeCold(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  backend.mAnswerCount = 0;
  backend.mCachedBlocks.clear();
  backend.mLruBlocks.clear();
}

void
Fleet::SetZone(const std::string& aZone, ZoneState aState, double aDelayMs)
{
  for (auto& zone : mZones) {
    if (zone.mName == aZone) {
      zone.mState = aState;
    }
  }
  // Each process receives the change after its own random delay.
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    ScheduleAt(mNowMs + aDelayMs * Uniform(), [this, i, zones = mZones] {
      ApplyZones(mEntries[i].mBalancer, zones, NowMs());
      DispatchQueued(i);
    });
  }
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    if (mBackends[i].mZone != aZone) {
      continue;
    }
    if (aState == ZoneState::Returning) {
      Restart(i);
    }
    ScheduleAt(mNowMs + aDelayMs * Uniform(), [this, i, aState] {
      mBackends[i].mZoneOut = aState == ZoneState::Out;
    });
  }
}

// Agent reports and gossip between entries.

void
Fleet::SendReport(std::size_t aBackend, std::optional<double> aDelayMs)
{
  const auto& backend = mBackends[aBackend];
  AgentReport report;
  report.mSender.mIncarnation = 1;
  report.mPool = kPool;
  report.mZone = backend.mZone;
  report.mAddress = backend.mAddress;
  report.mVersions = { kVersion };
  auto load = MakeLoadHint(backend.mAdmission,
                           backend.mAdmissionOptions,
                           Allowance(backend.mWarmup, backend.mWarmupOptions));
  report.mRunning = load.mRunning;
  report.mQueued = load.mQueued;
  report.mAllowance = load.mAllowance;
  report.mTokensHeld = load.mTokensHeld;
  report.mTokenCapacity = load.mTokenCapacity;
  auto requestCount =
    static_cast<int>(backend.mRunning.size() + backend.mFifoQueue.size());
  double delayMs = mNowMs == 0 ? 0 : aDelayMs.value_or(mOptions.mReportDelayMs);
  ScheduleAt(mNowMs + delayMs, [this, report, aBackend, requestCount] {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      ApplyReport(mEntries[i].mBalancer, report, NowMs());
      mEntries[i].mReportedLoad[aBackend] = requestCount;
      if (mOptions.mPolicy == Policy::Core) {
        DispatchQueued(i);
      }
    }
  });
}

void
Fleet::SendGossip()
{
  for (std::size_t sender = 0; sender < mEntries.size(); ++sender) {
    auto row =
      MakeDemandRow(mEntries[sender].mLimits, mOptions.mLimitsOptions, NowMs());
    ScheduleAt(mNowMs + mOptions.mZoneLatencyMs, [this, sender, row] {
      for (std::size_t receiver = 0; receiver < mEntries.size(); ++receiver) {
        if (receiver != sender) {
          MergeDemand(
            mEntries[receiver].mLimits, mOptions.mLimitsOptions, row, NowMs());
        }
      }
    });
  }
}

// Updates the tokens generated so far, and crashes each backend server whose
// running requests hold more than mTokenCapacity.
void
Fleet::CheckMemory()
{
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    auto& backend = mBackends[i];
    std::int64_t heldTokens = 0;
    auto running = backend.mRunning;
    for (const auto& [id, job] : running) {
      if (job->mEnded) {
        continue;
      }
      double decodeMs = job->mServiceMs - job->mPrefillMs;
      double decodedRatio = std::clamp(
        (mNowMs - job->mStartedMs - job->mPrefillMs) / decodeMs, 0.0, 1.0);
      auto generated = static_cast<std::int64_t>(
        decodedRatio * static_cast<double>(job->mOutputTokens));
      if (mOptions.mPolicy == Policy::Core) {
        for (const auto& cancelledId : OnTokensGenerated(
               backend.mAdmission, backend.mAdmissionOptions, id, generated)) {
          auto cancelledJob = backend.mRunning.at(cancelledId);
          ++mOutcome.mCancelled;
          EndAttempt(cancelledJob);
          Refuse(cancelledJob);
        }
      }
      heldTokens += job->mEnded ? 0 : job->mInputTokens + generated;
    }
    if (heldTokens > mOptions.mTokenCapacity) {
      Crash(i);
    }
  }
}

FleetOutcome
Fleet::Run(double aMeasureFromMs)
{
  mMeasureFromMs = aMeasureFromMs;
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    SendReport(i);
  }
  for (std::size_t i = 0; i < mOptions.mCustomers.size(); ++i) {
    ScheduleArrival(i);
  }
  double nextReportMs = 0;
  double nextTickMs = 0;
  double nextGossipMs = 0;
  // The reports of the agents are spread evenly over the interval.
  std::size_t reportCount = 0;
  while (mNowMs < mOptions.mDurationMs) {
    double dueMs = std::min({ nextReportMs, nextTickMs, nextGossipMs });
    if (!mEventQueue.empty() && mEventQueue.top().mTimeMs <= dueMs) {
      auto event = mEventQueue.top();
      mEventQueue.pop();
      mNowMs = event.mTimeMs;
      event.mAction();
      continue;
    }
    mNowMs = dueMs;
    if (dueMs == nextReportMs) {
      SendReport(reportCount++ % mBackends.size());
      nextReportMs +=
        mOptions.mReportIntervalMs / static_cast<double>(mBackends.size());
    } else if (dueMs == nextGossipMs) {
      SendGossip();
      nextGossipMs += mOptions.mGossipIntervalMs;
    } else {
      nextTickMs += 100;
      if (mOptions.mTokenCapacity > 0) {
        CheckMemory();
      }
      for (std::size_t i = 0;
           mOptions.mPolicy == Policy::Core && i < mBackends.size();
           ++i) {
        PollAgent(i);
      }
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        for (const auto& expired :
             RemoveExpired(mEntries[i].mLimits, NowMs())) {
          auto job = mEntries[i].mWaiting.at(expired.mRequest.mId);
          mEntries[i].mWaiting.erase(job->mId);
          Refuse(job);
        }
        DispatchQueued(i);
      }
    }
  }
  return mOutcome;
}

} // namespace savory::bench
