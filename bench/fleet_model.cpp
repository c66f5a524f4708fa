#include "fleet_model.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <cmath>

namespace savory::bench {

namespace {

constexpr std::int64_t kBlockTokens = 256;

// Round trip between caller and entry.
constexpr double kCallerMs = 6;

const std::string kVersion = "medium@1";
const std::string kPool = "pool";

} // namespace

bool
Fleet::Later::operator()(const Event& aLeft, const Event& aRight) const
{
  return aLeft.mMs != aRight.mMs ? aLeft.mMs > aRight.mMs
                                 : aLeft.mOrder > aRight.mOrder;
}

Fleet::Fleet(const FleetOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int i = 0; i < aOptions.mZones; ++i) {
    mZones.push_back({ "zone-" + std::to_string(i), "region", ZoneState::In });
  }
  for (int i = 0; i < aOptions.mBackends; ++i) {
    ModelBackend backend;
    backend.mAddress = "agent-" + std::to_string(i);
    backend.mZone = mZones[static_cast<std::size_t>(i % aOptions.mZones)].mName;
    backend.mServed = aOptions.mStartCold ? 0 : aOptions.mConcurrency;
    backend.mWarmupOptions.mFullAllowance = aOptions.mConcurrency;
    backend.mWarmupOptions.mEnabled = aOptions.mWarmup;
    backend.mWarmup.mAllowance =
      aOptions.mStartCold ? 1 : aOptions.mConcurrency;
    backend.mWarmup.mIncarnation = "0";
    backend.mAdmissionOptions.mTokenCapacity = aOptions.mTokenCapacity;
    backend.mAdmissionOptions.mCheckMemory = aOptions.mMemoryCheck;
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
  for (int i = 0; i < aOptions.mEntries; ++i) {
    ModelEntry entry;
    entry.mRandom.seed(aOptions.mSeed * 1000 + static_cast<std::uint64_t>(i));
    entry.mLimits.mEntry = "entry-" + std::to_string(i);
    entry.mBalancer.mLocalZone =
      mZones[static_cast<std::size_t>(i % aOptions.mZones)].mName;
    ApplyZones(entry.mBalancer, mZones, -1000000);
    ApplyCustomers(entry.mLimits, aOptions.mLimitsOptions, customers, NowMs());
    entry.mReported.resize(mBackends.size());
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
Fleet::At(double aMs, std::function<void()> aAction)
{
  mEvents.push({ aMs, mOrder++, std::move(aAction) });
}

double
Fleet::Latency(std::size_t aEntry, std::size_t aBackend) const
{
  bool same =
    mEntries[aEntry].mBalancer.mLocalZone == mBackends[aBackend].mZone;
  return same ? 0.1 : mOptions.mZoneLatencyMs;
}

void
Fleet::Decide(std::string_view aWhat)
{
  mOutcome.mDecisions = Hash64(aWhat, mOutcome.mDecisions);
}

bool
Fleet::Counts(const Job& aJob) const
{
  return aJob.mCreatedMs >= mFromMs;
}

// Arrivals.

void
Fleet::ScheduleArrival(std::size_t aCustomer)
{
  double rate = mOptions.mCustomers[aCustomer].mRate;
  double gap = -std::log(1 - Uniform()) * 1000 / std::max(1e-9, rate);
  if (mNow + gap < mOptions.mDurationMs) {
    At(mNow + gap, [this, aCustomer] {
      ScheduleArrival(aCustomer);
      Arrive(MakeJob(aCustomer));
    });
  }
}

// A turn of a session: the customer's common blocks, the history so far and
// two new blocks. A session that reached its length is replaced by a new one.
JobPtr
Fleet::MakeJob(std::size_t aCustomer)
{
  auto job = std::make_shared<Job>();
  job->mId = std::to_string(mJobs++);
  job->mCustomer = aCustomer;
  job->mEntry = mRandom() % mEntries.size();
  auto& sessions = mSessions[aCustomer];
  auto wanted =
    static_cast<std::size_t>(mOptions.mCustomers[aCustomer].mSessions);
  // Sessions are at any stage from the start, so that the load does not grow
  // while they do.
  while (sessions.size() < wanted) {
    auto turns =
      mRandom() % static_cast<std::uint64_t>((mOptions.mMaxBlocks - 4) / 2);
    sessions.emplace_back();
    for (std::uint64_t i = 0; turns > 0 && i < 4 + 2 * turns; ++i) {
      sessions.back().mBlocks.push_back(i < 4 ? (aCustomer + 1) * 100 + i
                                              : mRandom());
    }
  }
  auto& session = sessions[mRandom() % sessions.size()];
  if (session.mBlocks.size() >= static_cast<std::size_t>(mOptions.mMaxBlocks)) {
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
  job->mInput = static_cast<std::int64_t>(job->mPrefix.size()) * kBlockTokens +
                static_cast<std::int64_t>(Uniform() * kBlockTokens);
  // Half of the answers are short, the rest are reports of some length.
  double mean = Uniform() < 0.5 ? 60 : 360;
  job->mOutput =
    20 + static_cast<std::int64_t>(-std::log(1 - Uniform()) * mean);
  job->mOutput = std::min<std::int64_t>(job->mOutput, 1500);
  double error = 1 + mOptions.mOutputSpread * (2 * Uniform() - 1);
  job->mReserved = std::max<std::int64_t>(
    16, static_cast<std::int64_t>(static_cast<double>(job->mOutput) * error));
  job->mSlow = Uniform() < mOptions.mSlowCallers;
  job->mFingerprint = mRandom();
  job->mCreatedMs = mNow;
  return job;
}

void
Fleet::Arrive(const JobPtr& aJob)
{
  aJob->mArrivedMs = mNow;
  if (mOptions.mPolicy == Policy::Perfect) {
    mCentral.push_back(aJob);
    PumpPerfect();
    return;
  }
  if (mOptions.mPolicy != Policy::Core) {
    PlaceBaseline(aJob);
    return;
  }
  auto& entry = mEntries[aJob->mEntry];
  const auto& name = mOptions.mCustomers[aJob->mCustomer].mName;
  if (mOptions.mLimits) {
    auto answer = CheckArrival(entry.mLimits,
                               mOptions.mLimitsOptions,
                               name,
                               aJob->mFingerprint,
                               aJob->mInput + aJob->mReserved,
                               mPreset,
                               !entry.mWaiting.empty(),
                               NowMs());
    if (!answer.mAllowed) {
      Decide(ToName(kErrorCodeNames, answer.mCode));
      Refuse(aJob);
      return;
    }
  }
  // Waiting longer than leaves time for the answer would only waste capacity.
  double service =
    1500 + static_cast<double>(aJob->mReserved) * mOptions.mDecodeMs * 1.5;
  double last = aJob->mArrivedMs + mOptions.mDeadlineMs - service;
  if (!Enqueue(entry.mLimits,
               mOptions.mLimitsOptions,
               name,
               { aJob->mId,
                 aJob->mInput + aJob->mReserved,
                 static_cast<TimeMs>(last) },
               NowMs())) {
    Refuse(aJob);
    return;
  }
  entry.mWaiting.emplace(aJob->mId, aJob);
  Pump(aJob->mEntry);
}

// The caller gets a refusal and sends the request again without a pause.
void
Fleet::Refuse(const JobPtr& aJob)
{
  if (Counts(*aJob)) {
    ++mOutcome.mRefused;
    mOutcome.mRefusedAt.emplace_back(mNow, aJob->mCreatedMs);
  }
  if (aJob->mResends >= mOptions.mMaxResends) {
    mOutcome.mGivenUp += Counts(*aJob) ? 1 : 0;
    return;
  }
  // Events of the earlier attempt may still be due, so this one is a copy.
  auto again = std::make_shared<Job>(*aJob);
  ++again->mResends;
  again->mTried.clear();
  again->mAttempt = 0;
  again->mLeft = false;
  again->mFirst = false;
  again->mEntry = mRandom() % mEntries.size();
  At(mNow + kCallerMs + mOptions.mResendAfterMs,
     [this, again] { Arrive(again); });
}

// Placement by the core functions.

void
Fleet::Pump(std::size_t aEntry)
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
  request.mTokens = aJob->mInput + aJob->mReserved;
  request.mExcluded = aJob->mTried;
  auto choice = ChooseBackend(
    entry.mBalancer, mOptions.mBalancer, request, entry.mRandom, NowMs());
  if (choice.mCandidates.empty()) {
    return false;
  }
  const auto& best = choice.mCandidates.front().mAddress;
  Decide(best);
  auto backend =
    static_cast<std::size_t>(std::stoi(best.substr(best.find('-') + 1)));
  ++aJob->mAttempt;
  Send(aJob, backend, choice.mCandidates.size() == 1 || aJob->mAttempt >= 4);
  return true;
}

void
Fleet::Send(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue)
{
  OnRequestSent(mEntries[aJob->mEntry].mBalancer,
                mOptions.mBalancer,
                mBackends[aBackend].mAddress,
                aJob->mInput + aJob->mReserved,
                aJob->mPrefix,
                NowMs());
  At(mNow + Latency(aJob->mEntry, aBackend), [this, aJob, aBackend, aMayQueue] {
    ArriveAtAgent(aJob, aBackend, aMayQueue);
  });
}

void
Fleet::ArriveAtAgent(const JobPtr& aJob, std::size_t aBackend, bool aMayQueue)
{
  auto& backend = mBackends[aBackend];
  AdmissionRequest request;
  request.mId = aJob->mId;
  request.mCustomer = mOptions.mCustomers[aJob->mCustomer].mName;
  request.mInputTokens = aJob->mInput;
  request.mOutputTokens = aJob->mReserved;
  request.mPriority = mOptions.mCustomers[aJob->mCustomer].mPriority;
  request.mWeight = mOptions.mCustomers[aJob->mCustomer].mWeight;
  request.mDeadlineMs =
    static_cast<TimeMs>(aJob->mArrivedMs + mOptions.mDeadlineMs);
  request.mMayQueue = aMayQueue;
  int allowance = Allowance(backend.mWarmup, backend.mWarmupOptions);
  AdmissionChanges changes;
  AdmissionDecision answer;
  if (backend.mZoneOut) {
    answer.mCode = ErrorCode::ZoneOut;
    answer.mLoad =
      MakeLoadHint(backend.mAdmission, backend.mAdmissionOptions, allowance);
  } else {
    answer = Admit(backend.mAdmission,
                   backend.mAdmissionOptions,
                   allowance,
                   IsCold(backend.mWarmup, backend.mWarmupOptions),
                   request,
                   NowMs(),
                   changes);
  }
  if (answer.mResult == AdmissionResult::Started) {
    Start(aJob, aBackend);
  } else if (answer.mResult == AdmissionResult::Queued) {
    aJob->mBackend = static_cast<int>(aBackend);
    backend.mQueued.emplace(aJob->mId, aJob);
  } else {
    Decide(ToName(kErrorCodeNames, answer.mCode));
    At(mNow + Latency(aJob->mEntry, aBackend),
       [this, aJob, aBackend, load = answer.mLoad] {
         auto& entry = mEntries[aJob->mEntry];
         const auto& address = mBackends[aBackend].mAddress;
         OnRequestEnded(
           entry.mBalancer, address, aJob->mInput + aJob->mReserved);
         ApplyLoadHint(entry.mBalancer, address, load, NowMs());
         aJob->mTried.push_back(address);
         if (!Dispatch(aJob)) {
           aJob->mTried.clear();
           aJob->mAttempt = 0;
           entry.mWaiting.emplace(aJob->mId, aJob);
           double last = aJob->mArrivedMs + mOptions.mDeadlineMs - 1500;
           Requeue(entry.mLimits,
                   { mOptions.mCustomers[aJob->mCustomer].mName,
                     { aJob->mId,
                       aJob->mInput + aJob->mReserved,
                       static_cast<TimeMs>(last) } });
         }
       });
  }
}

void
Fleet::PollAgent(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  for (const auto& [id, job] : backend.mRunning) {
    if (!job->mFirst && job->mGeneration == backend.mWarmup.mGeneration &&
        !IsCold(backend.mWarmup, backend.mWarmupOptions) &&
        LooksCold(backend.mWarmup,
                  backend.mWarmupOptions,
                  job->mInput,
                  static_cast<TimeMs>(mNow - job->mStartedMs))) {
      ResetWarmup(backend.mWarmup, "wait for the first token");
      ReportFrom(aBackend);
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
                   job->mInput + job->mReserved);
    Refuse(job);
  }
  if (ConsumeCapacityNotice(
        backend.mAdmission,
        Allowance(backend.mWarmup, backend.mWarmupOptions))) {
    ReportFrom(aBackend, mOptions.mZoneLatencyMs);
  }
}

// Baselines: placement by reported load, FIFO queues at the backend servers.

void
Fleet::PlaceBaseline(const JobPtr& aJob)
{
  auto& entry = mEntries[aJob->mEntry];
  std::size_t count = mBackends.size();
  std::size_t best = 0;
  switch (mOptions.mPolicy) {
    case Policy::RoundRobin:
      best = entry.mNext++ % count;
      break;
    case Policy::LeastReported:
      best = static_cast<std::size_t>(
        std::min_element(entry.mReported.begin(), entry.mReported.end()) -
        entry.mReported.begin());
      break;
    case Policy::PowerOfTwo: {
      std::size_t other = entry.mRandom() % count;
      best = entry.mRandom() % count;
      if (entry.mReported[other] < entry.mReported[best]) {
        best = other;
      }
      break;
    }
    default:
      best = entry.mRandom() % count;
  }
  At(mNow + Latency(aJob->mEntry, best), [this, aJob, best] {
    mBackends[best].mFifo.push_back(aJob);
    PumpFifo(best);
  });
}

void
Fleet::PumpFifo(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  while (!backend.mFifo.empty() &&
         backend.mRunning.size() <
           static_cast<std::size_t>(mOptions.mConcurrency)) {
    auto job = backend.mFifo.front();
    backend.mFifo.pop_front();
    Start(job, aBackend);
  }
}

// One queue: the request at its head goes to the free backend server with the
// most of its prompt cached, and among equals to the least busy one.
void
Fleet::PumpPerfect()
{
  while (!mCentral.empty()) {
    auto job = mCentral.front();
    std::size_t best = mBackends.size();
    std::pair<std::size_t, std::size_t> most{ 0, 0 };
    for (std::size_t i = 0; i < mBackends.size(); ++i) {
      const auto& backend = mBackends[i];
      auto limit = static_cast<std::size_t>(
        std::min(mOptions.mConcurrency, 1 + backend.mServed));
      if (backend.mZoneOut || backend.mRunning.size() >= limit) {
        continue;
      }
      std::pair rank{ CachedBlocks(backend, *job) + 1,
                      limit - backend.mRunning.size() };
      if (rank > most) {
        most = rank;
        best = i;
      }
    }
    if (best == mBackends.size()) {
      return;
    }
    mCentral.pop_front();
    Start(job, best);
  }
}

// The backend servers.

std::size_t
Fleet::CachedBlocks(const ModelBackend& aBackend, const Job& aJob) const
{
  std::size_t cached = 0;
  while (cached < aJob.mPrefix.size() &&
         aBackend.mCache.contains(aJob.mPrefix[cached])) {
    ++cached;
  }
  return cached;
}

// Puts a prompt into the cache and tells the entries, late and with gaps.
void
Fleet::Store(std::size_t aBackend, const Job& aJob)
{
  auto& backend = mBackends[aBackend];
  auto tell = [&](std::uint64_t aBlock, bool aStored) {
    if (mOptions.mPolicy != Policy::Core || Uniform() < mOptions.mEventLoss) {
      return;
    }
    At(mNow + mOptions.mEventLagMs, [this, aBackend, aBlock, aStored] {
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
  // The first block is touched last, so that the end of a prompt is evicted
  // before its start.
  for (auto block = aJob.mPrefix.rbegin(); block != aJob.mPrefix.rend();
       ++block) {
    auto found = backend.mCache.find(*block);
    if (found != backend.mCache.end()) {
      backend.mLru.splice(backend.mLru.begin(), backend.mLru, found->second);
      continue;
    }
    backend.mLru.push_front(*block);
    backend.mCache.emplace(*block, backend.mLru.begin());
    tell(*block, true);
    if (backend.mCache.size() > mOptions.mCacheBlocks) {
      tell(backend.mLru.back(), false);
      backend.mCache.erase(backend.mLru.back());
      backend.mLru.pop_back();
    }
  }
}

void
Fleet::Start(const JobPtr& aJob, std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  auto running = static_cast<int>(backend.mRunning.size());
  bool tooMany =
    running >= std::min(mOptions.mConcurrency, 1 + backend.mServed);
  aJob->mBackend = static_cast<int>(aBackend);
  aJob->mStartedMs = mNow;
  aJob->mGeneration = backend.mWarmup.mGeneration;
  aJob->mLife = backend.mLife;
  std::size_t cached = CachedBlocks(backend, *aJob);
  if (mNow >= mFromMs) {
    mOutcome.mBlocks += static_cast<double>(aJob->mPrefix.size());
    mOutcome.mHits += static_cast<double>(cached);
    mOutcome.mColdViolations += tooMany ? 1 : 0;
    mOutcome.mStartedIn.emplace_back(mNow, backend.mZone);
  }
  Store(aBackend, *aJob);
  double busy = 1 + 0.5 * running / mOptions.mConcurrency;
  double cold =
    backend.mServed < mOptions.mConcurrency ? mOptions.mColdFactor : 1.0;
  // A backend server that just started is slower still until its first answer.
  if (backend.mServed == 0) {
    cold *= 5;
  }
  double uncached = static_cast<double>(aJob->mInput) -
                    static_cast<double>(cached * kBlockTokens);
  aJob->mPrefillMs = (20 + uncached * mOptions.mPrefillMs) * busy * cold;
  double decode =
    static_cast<double>(aJob->mOutput) * mOptions.mDecodeMs * busy;
  if (aJob->mSlow) {
    decode *= 4;
  }
  aJob->mServiceMs = aJob->mPrefillMs + decode;
  backend.mRunning.emplace(aJob->mId, aJob);
  At(mNow + aJob->mPrefillMs, [this, aJob] { FirstToken(aJob); });
  At(mNow + aJob->mServiceMs, [this, aJob] { Finish(aJob); });
  if (tooMany && mOptions.mFallsOver) {
    FallOver(aBackend);
  }
}

void
Fleet::FirstToken(const JobPtr& aJob)
{
  if (aJob->mLeft) {
    return;
  }
  aJob->mFirst = true;
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  if (Counts(*aJob)) {
    double latency = mOptions.mPolicy == Policy::Perfect
                       ? 2 * mOptions.mZoneLatencyMs
                       : Latency(aJob->mEntry, index);
    mOutcome.mFirstTokens.emplace_back(aJob->mArrivedMs,
                                       mNow - aJob->mArrivedMs + latency);
  }
  if (mOptions.mPolicy == Policy::Core &&
      OnFirstToken(backend.mWarmup,
                   backend.mWarmupOptions,
                   aJob->mGeneration,
                   aJob->mInput,
                   static_cast<TimeMs>(mNow - aJob->mStartedMs))) {
    ReportFrom(index);
  }
}

// Takes a request off its backend server and lets the next one start.
void
Fleet::Leave(const JobPtr& aJob)
{
  aJob->mLeft = true;
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  backend.mRunning.erase(aJob->mId);
  if (mNow > mFromMs) {
    mOutcome.mBusy += mNow - std::max(mFromMs, aJob->mStartedMs);
  }
  if (mOptions.mPolicy == Policy::Core) {
    OnRequestEnded(backend.mAdmission, aJob->mId, NowMs());
    OnRequestEnded(mEntries[aJob->mEntry].mBalancer,
                   backend.mAddress,
                   aJob->mInput + aJob->mReserved);
  }
}

void
Fleet::Finish(const JobPtr& aJob)
{
  if (aJob->mLeft) {
    return;
  }
  Leave(aJob);
  auto index = static_cast<std::size_t>(aJob->mBackend);
  auto& backend = mBackends[index];
  ++backend.mServed;
  if (mNow >= mFromMs && mNow <= mOptions.mDurationMs) {
    if (mNow - aJob->mArrivedMs <= mOptions.mDeadlineMs ||
        mOptions.mPolicy == Policy::Perfect) {
      auto tokens = static_cast<double>(aJob->mInput + aJob->mOutput);
      mOutcome.mTokens += tokens;
      mOutcome.mCustomerTokens[aJob->mCustomer] += tokens;
    } else {
      ++mOutcome.mLate;
    }
    ++mOutcome.mFinished;
  }
  switch (mOptions.mPolicy) {
    case Policy::Perfect:
      PumpPerfect();
      break;
    case Policy::Core:
      OnCompleted(backend.mWarmup, backend.mWarmupOptions, aJob->mGeneration);
      OnAnswered(mEntries[aJob->mEntry].mLimits,
                 mOptions.mLimitsOptions,
                 mOptions.mCustomers[aJob->mCustomer].mName,
                 aJob->mFingerprint,
                 NowMs());
      PollAgent(index);
      Pump(aJob->mEntry);
      break;
    default:
      PumpFifo(index);
  }
}

// The backend server ends all it runs and starts anew with an empty cache.
// The agent sees the broken connections.
void
Fleet::FallOver(std::size_t aBackend)
{
  mOutcome.mFellOver += mNow >= mFromMs ? 1 : 0;
  Restart(aBackend);
}

void
Fleet::Restart(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  ++backend.mLife;
  MakeCold(aBackend);
  auto lost = backend.mRunning;
  for (const auto& [id, job] : lost) {
    Leave(job);
    Refuse(job);
  }
  OnIncarnation(backend.mWarmup, std::to_string(backend.mLife));
  ReportFrom(aBackend);
}

void
Fleet::MakeCold(std::size_t aBackend)
{
  auto& backend = mBackends[aBackend];
  backend.mServed = 0;
  backend.mCache.clear();
  backend.mLru.clear();
}

void
Fleet::SetZone(const std::string& aZone, ZoneState aState, double aDelayMs)
{
  for (auto& zone : mZones) {
    if (zone.mName == aZone) {
      zone.mState = aState;
    }
  }
  // Each process learns of the change at its own time.
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    At(mNow + aDelayMs * Uniform(), [this, i, zones = mZones] {
      ApplyZones(mEntries[i].mBalancer, zones, NowMs());
      Pump(i);
    });
  }
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    if (mBackends[i].mZone != aZone) {
      continue;
    }
    if (aState == ZoneState::Returning) {
      Restart(i);
    }
    At(mNow + aDelayMs * Uniform(),
       [this, i, aState] { mBackends[i].mZoneOut = aState == ZoneState::Out; });
  }
}

// Reports and gossip.

void
Fleet::ReportFrom(std::size_t aBackend, std::optional<double> aLagMs)
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
  auto baseline =
    static_cast<int>(backend.mRunning.size() + backend.mFifo.size());
  double lag = mNow == 0 ? 0 : aLagMs.value_or(mOptions.mReportLagMs);
  At(mNow + lag, [this, report, aBackend, baseline] {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      ApplyReport(mEntries[i].mBalancer, report, NowMs());
      mEntries[i].mReported[aBackend] = baseline;
      if (mOptions.mPolicy == Policy::Core) {
        Pump(i);
      }
    }
  });
}

void
Fleet::Gossip()
{
  for (std::size_t from = 0; from < mEntries.size(); ++from) {
    auto row =
      MakeDemandRow(mEntries[from].mLimits, mOptions.mLimitsOptions, NowMs());
    At(mNow + mOptions.mZoneLatencyMs, [this, from, row] {
      for (std::size_t to = 0; to < mEntries.size(); ++to) {
        if (to != from) {
          MergeDemand(
            mEntries[to].mLimits, mOptions.mLimitsOptions, row, NowMs());
        }
      }
    });
  }
}

// Lets the answers grow, and a backend server fall over that holds more than
// its memory.
void
Fleet::CheckMemory()
{
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    auto& backend = mBackends[i];
    std::int64_t held = 0;
    auto running = backend.mRunning;
    for (const auto& [id, job] : running) {
      if (job->mLeft) {
        continue;
      }
      double decode = job->mServiceMs - job->mPrefillMs;
      double done = std::clamp(
        (mNow - job->mStartedMs - job->mPrefillMs) / decode, 0.0, 1.0);
      auto generated =
        static_cast<std::int64_t>(done * static_cast<double>(job->mOutput));
      if (mOptions.mPolicy == Policy::Core) {
        for (const auto& id2 : OnTokensGenerated(
               backend.mAdmission, backend.mAdmissionOptions, id, generated)) {
          auto victim = backend.mRunning.at(id2);
          ++mOutcome.mCancelled;
          Leave(victim);
          Refuse(victim);
        }
      }
      held += job->mLeft ? 0 : job->mInput + generated;
    }
    if (held > mOptions.mTokenCapacity) {
      FallOver(i);
    }
  }
}

FleetOutcome
Fleet::Run(double aFromMs)
{
  mFromMs = aFromMs;
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    ReportFrom(i);
  }
  for (std::size_t i = 0; i < mOptions.mCustomers.size(); ++i) {
    ScheduleArrival(i);
  }
  double nextReport = 0;
  double nextTick = 0;
  double nextGossip = 0;
  // Agents report at different times within the period.
  std::size_t reporter = 0;
  while (mNow < mOptions.mDurationMs) {
    double due = std::min({ nextReport, nextTick, nextGossip });
    if (!mEvents.empty() && mEvents.top().mMs <= due) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mMs;
      event.mAction();
      continue;
    }
    mNow = due;
    if (due == nextReport) {
      ReportFrom(reporter++ % mBackends.size());
      nextReport +=
        mOptions.mReportEveryMs / static_cast<double>(mBackends.size());
    } else if (due == nextGossip) {
      Gossip();
      nextGossip += mOptions.mGossipEveryMs;
    } else {
      nextTick += 100;
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
        Pump(i);
      }
    }
  }
  return mOutcome;
}

} // namespace savory::bench
