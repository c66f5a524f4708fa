#include "benchmarks.h"

#include "savory/core/identity.h"
#include "savory/core/record.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>
#include <map>
#include <random>

namespace savory::bench {

namespace {

constexpr std::uint64_t kSeeds[] = { 11, 12, 13, 14, 15 };
constexpr std::int64_t kUnixMs = 1700000000000;
// Simulated time of a store write and of an answer of the backend server.
constexpr TimeMs kStoreWriteMs = 3;
constexpr TimeMs kBackendAnswerMs = 20;
constexpr TimeMs kHourMs = 3600 * 1000;

Slot
MakeServingSlot(const RecordOptions& aOptions)
{
  Slot slot = MakeSlot({ "owner", 1 }, aOptions, kUnixMs, 0);
  OnLeaseRenewed(slot, 0);
  TakeOver(slot, std::nullopt, 0);
  OnStatusAnswer(slot, StoreAnswer::Written, {}, 0);
  OnRecordRead(slot, std::vector<std::string>{}, 0);
  ProposeWitnesses(slot, { AgentName{ "b", 1 }, AgentName{ "c", 1 } }, 0);
  OnStatusAnswer(slot, StoreAnswer::Written, {}, 0);
  return slot;
}

// A call with a new idempotency key of 36 characters, the length of a UUID.
KeyedCall
MakeFreshCall(CallId aId, std::mt19937_64& aRandom)
{
  std::string key = Sha256Hex(std::to_string(aRandom())).substr(0, 36);
  return { .mId = aId,
           .mCustomer = "customer-" + std::to_string(aRandom() % 10),
           .mKey = key,
           .mFingerprint = aRandom(),
           .mRequestId = key };
}

Outcome
MakeSmallOutcome()
{
  return { .mStatus = 201,
           .mHeaders = { { "content-type", "application/json" } },
           .mBody = std::string(200, 'x'),
           .mBodyKept = true };
}

// A simulated owner. The store answers after kStoreWriteMs and the backend
// server after kBackendAnswerMs.
struct Simulation
{
  Slot mSlot;
  std::multimap<TimeMs, RecordAction> mPendingActions;
  std::map<CallId, TimeMs> mArrivalsMs;
  std::vector<double> mQueueWaitsMs;
  int mWriteCount = 0;
  std::map<std::string, int> mAnswerCounts;

  explicit Simulation(Slot aSlot)
    : mSlot(std::move(aSlot))
  {
  }

  void Perform(RecordActions aActions, TimeMs aNowMs)
  {
    for (auto& action : aActions) {
      if (const auto* answer = std::get_if<AnswerCall>(&action)) {
        std::string name =
          answer->mOutcome
            ? "served"
            : std::string(ToName(kErrorCodeNames, answer->mCode)) + "/" +
                std::string(ToName(kExecutionStateNames, answer->mExecution));
        ++mAnswerCounts[name];
      } else if (std::holds_alternative<WriteBatch>(action)) {
        ++mWriteCount;
        mPendingActions.emplace(aNowMs + kStoreWriteMs, std::move(action));
      } else if (const auto* run = std::get_if<DispatchCall>(&action)) {
        auto arrived = mArrivalsMs.find(run->mCall);
        if (arrived != mArrivalsMs.end()) {
          mQueueWaitsMs.push_back(
            static_cast<double>(aNowMs - arrived->second));
          mArrivalsMs.erase(arrived);
        }
        mPendingActions.emplace(aNowMs + kBackendAnswerMs, std::move(action));
      } else if (std::holds_alternative<SendClaims>(action)) {
        mPendingActions.emplace(aNowMs + 1, std::move(action));
      }
    }
  }

  void AdvanceTo(TimeMs aNowMs)
  {
    while (!mPendingActions.empty() &&
           mPendingActions.begin()->first <= aNowMs) {
      RecordAction action = std::move(mPendingActions.begin()->second);
      mPendingActions.erase(mPendingActions.begin());
      if (const auto* write = std::get_if<WriteBatch>(&action)) {
        Perform(
          OnBatchAnswer(mSlot, write->mSequence, StoreAnswer::Written, aNowMs),
          aNowMs);
      } else if (const auto* run = std::get_if<DispatchCall>(&action)) {
        Perform(OnBackendAnswer(mSlot, run->mCall, MakeSmallOutcome(), aNowMs),
                aNowMs);
      } else if (const auto* claims = std::get_if<SendClaims>(&action)) {
        Perform(
          OnWitnessAck(mSlot, claims->mWitnessIndex, claims->mRound, aNowMs),
          aNowMs);
      }
    }
    auto dueMs = NextDueMs(mSlot);
    if (dueMs && *dueMs <= aNowMs) {
      Perform(Tick(mSlot, aNowMs), aNowMs);
    }
  }
};

double
Quantile(std::vector<double> aValues, double aLevel)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto index =
    static_cast<std::size_t>(aLevel * static_cast<double>(aValues.size()));
  return aValues[std::min(index, aValues.size() - 1)];
}

// Claims that a slot commits in one second while calls are always waiting.
void
BenchCapacity(Results& aResults)
{
  Metric metric{ .mName = "record: claims per second of one slot",
                 .mUnit = "1/s",
                 .mDirection = Direction::Higher,
                 .mValues = {},
                 .mBaselines = { { "one write a call", 20 } },
                 .mBound = std::nullopt,
                 .mTarget = std::nullopt };
  for (auto seed : kSeeds) {
    std::mt19937_64 random(seed);
    RecordOptions options;
    options.mMaxBytes = 256 << 20;
    Simulation simulation(MakeServingSlot(options));
    CallId call = 0;
    for (TimeMs now = 100; now < 1100; ++now) {
      while (simulation.mSlot.mWriteQueue.size() < 6000) {
        simulation.Perform(
          OnCallArrived(simulation.mSlot, MakeFreshCall(++call, random), now),
          now);
      }
      simulation.AdvanceTo(now);
    }
    metric.mValues.push_back(
      static_cast<double>(simulation.mAnswerCounts["served"]));
    MixDecision(aResults,
                "capacity " +
                  std::to_string(simulation.mAnswerCounts["served"]) + " " +
                  std::to_string(simulation.mWriteCount));
  }
  aResults.mMetrics.push_back(std::move(metric));
}

// The wait between arrival and dispatch at a fixed rate of new keys, without
// the time of the store write. The baseline without group commit has one write
// for each call.
void
BenchWait(Results& aResults)
{
  for (int rate : { 20, 500 }) {
    std::string name = "record: wait by group commit, " + std::to_string(rate);
    Metric median{ .mName = name + "/s, median",
                   .mUnit = "ms",
                   .mValues = {},
                   .mBaselines = { { "one write a call", 0 },
                                   { "its writes/s", rate } },
                   .mBound = 0.5 * 50,
                   .mTarget = std::nullopt };
    Metric tail = median;
    tail.mName = name + "/s, p99";
    tail.mBound = 50;
    Metric writes{ .mName = name + "/s, writes",
                   .mUnit = "1/s",
                   .mValues = {},
                   .mBaselines = { { "one write a call", 2.0 * rate } },
                   .mBound = std::nullopt,
                   .mTarget = 20 };
    for (auto seed : kSeeds) {
      std::mt19937_64 random(seed);
      std::poisson_distribution<int> arrivals(rate / 1000.0);
      Simulation simulation(MakeServingSlot({}));
      CallId call = 0;
      constexpr TimeMs kDurationMs = 30000;
      for (TimeMs now = 100; now < 100 + kDurationMs; ++now) {
        for (int i = arrivals(random); i > 0; --i) {
          simulation.mArrivalsMs[++call] = now;
          simulation.Perform(
            OnCallArrived(simulation.mSlot, MakeFreshCall(call, random), now),
            now);
        }
        simulation.AdvanceTo(now);
      }
      for (double& wait : simulation.mQueueWaitsMs) {
        wait -= kStoreWriteMs;
      }
      median.mValues.push_back(Quantile(simulation.mQueueWaitsMs, 0.5));
      tail.mValues.push_back(Quantile(simulation.mQueueWaitsMs, 0.99));
      writes.mValues.push_back(simulation.mWriteCount * 1000.0 / kDurationMs);
      MixDecision(aResults,
                  "wait " + std::to_string(simulation.mWriteCount) + " " +
                    std::to_string(simulation.mQueueWaitsMs.size()) + " " +
                    std::to_string(Quantile(simulation.mQueueWaitsMs, 0.99)));
    }
    aResults.mMetrics.push_back(std::move(median));
    aResults.mMetrics.push_back(std::move(tail));
    aResults.mMetrics.push_back(std::move(writes));
  }
}

// Heap bytes of a recorded key with an answer of 200 bytes, and processor time
// from arrival to recorded outcome.
void
BenchCost(Results& aResults)
{
  Metric bytes{ .mName = "record: memory per key, 200-byte answer",
                .mUnit = "bytes",
                .mValues = {},
                .mBaselines = {},
                .mBound = std::nullopt,
                .mTarget = std::nullopt };
  Metric time{ .mName = "record: processor time per call",
               .mUnit = "us",
               .mValues = {},
               .mBaselines = {},
               .mBound = std::nullopt,
               .mTarget = std::nullopt };
  double estimate = 0;
  for (auto seed : kSeeds) {
    constexpr int kCalls = 50000;
    constexpr int kCallsPerMs = 5;
    std::mt19937_64 random(seed);
    std::vector<KeyedCall> calls;
    calls.reserve(kCalls);
    for (CallId call = 1; call <= kCalls; ++call) {
      calls.push_back(MakeFreshCall(call, random));
    }
    Simulation simulation(MakeServingSlot({}));
    auto heapBefore = mallinfo2().uordblks + mallinfo2().hblkhd;
    std::clock_t start = std::clock();
    TimeMs now = 100;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      now += i % kCallsPerMs == 0;
      simulation.Perform(OnCallArrived(simulation.mSlot, calls[i], now), now);
      simulation.AdvanceTo(now);
    }
    for (TimeMs end = now + 2000; now < end; ++now) {
      simulation.AdvanceTo(now);
    }
    double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    simulation.mPendingActions.clear();
    auto heapAfter = mallinfo2().uordblks + mallinfo2().hblkhd;
    bytes.mValues.push_back(static_cast<double>(heapAfter - heapBefore) /
                            kCalls);
    time.mValues.push_back(seconds * 1e6 / kCalls);
    estimate = static_cast<double>(RecordBytes(simulation.mSlot)) / kCalls;
    MixDecision(aResults,
                "cost " + std::to_string(simulation.mAnswerCounts["served"]) +
                  " " + std::to_string(RecordBytes(simulation.mSlot)));
  }
  bytes.mBaselines = { { "estimate of the bound", estimate } };
  aResults.mMetrics.push_back(std::move(bytes));
  aResults.mMetrics.push_back(std::move(time));
}

struct OutageShares
{
  double mServed = 0;
  double mRefused = 0;
  double mProvedNotRun = 0;
  double mUnknown = 0;
};

// Simulates an hour without the store, at 10 new keys a second. aFailedAgent is
// the agent that fails at a random time: 0 none, 1 a witness, 2 the owner. No
// agent can take over during the outage, so the entry answers the calls to a
// lost owner, and whether they ran is unknown.
OutageShares
SimulateOutage(std::mt19937_64& aRandom,
               const RecordOptions& aOptions,
               int aFailedAgent)
{
  constexpr TimeMs kArrivalIntervalMs = 100;
  Simulation simulation(MakeServingSlot(aOptions));
  auto failureMs = static_cast<TimeMs>(aRandom() % kHourMs);
  simulation.Perform(OnStoreUnreachable(simulation.mSlot, 100), 100);
  int sent = 0;
  int lost = 0;
  bool failed = aFailedAgent == 0;
  for (TimeMs now = 101; now < kHourMs; now += 20) {
    if (!failed && now >= failureMs) {
      failed = true;
      if (aFailedAgent == 1) {
        simulation.Perform(OnWitnessLost(simulation.mSlot, 0, now), now);
      }
    }
    bool ownerLost = aFailedAgent == 2 && failed;
    if (now % kArrivalIntervalMs == 1) {
      ++sent;
      if (ownerLost) {
        ++lost;
      } else {
        simulation.Perform(
          OnCallArrived(simulation.mSlot,
                        MakeFreshCall(static_cast<CallId>(sent), aRandom),
                        now),
          now);
      }
    }
    if (!ownerLost) {
      simulation.AdvanceTo(now);
    }
  }
  OutageShares shares;
  double all = sent;
  int provedNotRun = 0;
  int refused = 0;
  for (const auto& [name, count] : simulation.mAnswerCounts) {
    if (name != "served") {
      refused += count;
      provedNotRun += name.ends_with("/not_run") ? count : 0;
    }
  }
  shares.mServed = simulation.mAnswerCounts["served"] / all;
  shares.mRefused = refused / all;
  shares.mProvedNotRun = provedNotRun / all;
  shares.mUnknown = lost / all;
  return shares;
}

void
BenchOutage(Results& aResults)
{
  struct Scenario
  {
    const char* mName;
    int mFailedAgent;
  };
  for (const Scenario& scenario : { Scenario{ "no agent fails", 0 },
                                    Scenario{ "a witness fails", 1 },
                                    Scenario{ "the owner fails", 2 } }) {
    std::string name =
      std::string("record: 1 h store outage, ") + scenario.mName;
    auto metric = [&name](const char* aWhat, Direction aDirection) {
      return Metric{ .mName = name + ", " + aWhat,
                     .mUnit = "share",
                     .mDirection = aDirection,
                     .mValues = {},
                     .mBaselines = {},
                     .mBound = std::nullopt,
                     .mTarget = std::nullopt };
    };
    Metric served = metric("served", Direction::Higher);
    Metric refused = metric("refused", Direction::Lower);
    Metric provedNotRun = metric("refused, proved not run", Direction::Higher);
    Metric unknown = metric("no owner: unknown", Direction::Lower);
    double servedWithoutCopy = 0;
    for (auto seed : kSeeds) {
      std::mt19937_64 random(seed);
      auto shares = SimulateOutage(random, {}, scenario.mFailedAgent);
      served.mValues.push_back(shares.mServed);
      refused.mValues.push_back(shares.mRefused);
      provedNotRun.mValues.push_back(shares.mProvedNotRun);
      unknown.mValues.push_back(shares.mUnknown);
      MixDecision(aResults,
                  name + std::to_string(shares.mServed) + " " +
                    std::to_string(shares.mRefused) + " " +
                    std::to_string(shares.mProvedNotRun));
      RecordOptions withoutWitnesses;
      withoutWitnesses.mWitnessAcks = 0;
      std::mt19937_64 sameRandom(seed);
      servedWithoutCopy +=
        SimulateOutage(sameRandom, withoutWitnesses, scenario.mFailedAgent)
          .mServed /
        static_cast<double>(std::size(kSeeds));
    }
    served.mBaselines = { { "refuse all", 0 },
                          { "run without a copy", servedWithoutCopy } };
    aResults.mMetrics.push_back(std::move(served));
    aResults.mMetrics.push_back(std::move(refused));
    aResults.mMetrics.push_back(std::move(provedNotRun));
    aResults.mMetrics.push_back(std::move(unknown));
  }
}

} // namespace

void
BenchRecord(Results& aResults)
{
  BenchCapacity(aResults);
  BenchWait(aResults);
  BenchCost(aResults);
  BenchOutage(aResults);
}

} // namespace savory::bench
