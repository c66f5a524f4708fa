#include "benchmarks.h"
#include "workload.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>

namespace savory::bench {

namespace {

// Targets of docs/design.md, section 1.3.
constexpr double kMaxCostRatioToBestPolicy = 1.10;
constexpr double kMaxCostRatioToAlwaysBest = 0.5;
constexpr double kQualityTarget = 0.9;
// Target of docs/design.md, section 5.6.
constexpr double kMaxExploredRatio = 0.02;

constexpr std::array<std::uint64_t, 5> kSeeds{ 101, 102, 103, 104, 105 };
constexpr TimeMs kWindowMs = 600000;
constexpr std::size_t kWindowCount = kDayMs / kWindowMs;
constexpr std::size_t kEntryCount = 3;
constexpr TimeMs kGossipIntervalMs = 10000;
constexpr int kNoModel = -1;

// The outcome of the steps that a policy chose for one request.
struct PolicyResult
{
  double mCost = 0;
  double mExpectedQuality = 0;
  bool mPassed = false;
  bool mExplored = false;
};

// Sums over the requests of a window of ten minutes.
struct Window
{
  double mCost = 0;
  double mExpectedPasses = 0;
  double mPassed = 0;
  double mRequests = 0;
  double mExplored = 0;
  std::array<double, kClassCount> mClassExpected{};
  std::array<double, kClassCount> mClassRequests{};
};

using Day = std::vector<Window>;

std::size_t
ToIndex(int aModel)
{
  return static_cast<std::size_t>(aModel);
}

bool
MeetsDeadline(const BenchRequest& aRequest, int aFirstModel, int aSecondModel)
{
  TimeMs time = aRequest.mStepMs[ToIndex(aFirstModel)];
  if (aSecondModel != kNoModel) {
    time += kCascadeRatingMs + aRequest.mStepMs[ToIndex(aSecondModel)];
  }
  return time <= 30000;
}

// Executes one or two steps for a request. mRatingWrong and mRatingLate of the
// request apply to the rating of the first step.
PolicyResult
ExecuteSteps(const BenchRequest& aRequest,
             int aFirstModel,
             int aSecondModel,
             bool aDeliverLate)
{
  const auto& rates = TruePassRates(*aRequest.mTruth, aRequest.mArrivalMs);
  PolicyResult result{ aRequest.mCost[ToIndex(aFirstModel)],
                       ExpectedQuality(
                         rates, aFirstModel, aSecondModel, aDeliverLate),
                       aRequest.mPasses[ToIndex(aFirstModel)],
                       false };
  bool ratingPassed = result.mPassed != aRequest.mRatingWrong;
  if (aSecondModel != kNoModel &&
      (aRequest.mRatingLate ? !aDeliverLate : !ratingPassed)) {
    result.mCost += aRequest.mCost[ToIndex(aSecondModel)];
    result.mPassed = aRequest.mPasses[ToIndex(aSecondModel)];
  }
  return result;
}

// The policy that knows the true pass rates of the class: the cheapest steps
// that meet the quality target and the deadline, or the steps of the highest
// quality within the deadline if none meet the target.
PolicyResult
BestPolicy(const BenchRequest& aRequest)
{
  const auto& rates = TruePassRates(*aRequest.mTruth, aRequest.mArrivalMs);
  bool mayCascade = !aRequest.mStream && IsRatingAvailable(aRequest.mArrivalMs);
  int bestFirst = 0;
  int bestSecond = kNoModel;
  double bestCost = 0;
  double bestQuality = -1;
  for (int firstModel = 0; firstModel < kModelCount; ++firstModel) {
    bool deliver = rates[ToIndex(firstModel)] >= kQualityTarget;
    for (int secondModel = kNoModel;
         secondModel < (mayCascade ? kModelCount : 0);
         ++secondModel) {
      if (secondModel == firstModel ||
          !MeetsDeadline(aRequest, firstModel, secondModel)) {
        continue;
      }
      double quality = ExpectedQuality(rates, firstModel, secondModel, deliver);
      double cost = aRequest.mCost[ToIndex(firstModel)];
      if (secondModel != kNoModel) {
        cost += (1 - rates[ToIndex(firstModel)]) *
                aRequest.mCost[ToIndex(secondModel)];
      }
      bool meetsTarget = quality >= kQualityTarget;
      bool bestMeetsTarget = bestQuality >= kQualityTarget;
      if (meetsTarget != bestMeetsTarget ? meetsTarget
          : meetsTarget                  ? cost < bestCost
                                         : quality > bestQuality) {
        bestFirst = firstModel;
        bestSecond = secondModel;
        bestCost = cost;
        bestQuality = quality;
      }
    }
  }
  return ExecuteSteps(aRequest,
                      bestFirst,
                      bestSecond,
                      rates[ToIndex(bestFirst)] >= kQualityTarget);
}

// The policy that knows whether each answer passes: the cheapest model whose
// answer passes within the deadline, or the cheapest model if there is none.
PolicyResult
Oracle(const BenchRequest& aRequest)
{
  int chosen = 0;
  for (int model = kModelCount - 1; model >= 0; --model) {
    if (aRequest.mPasses[ToIndex(model)] &&
        MeetsDeadline(aRequest, model, kNoModel)) {
      chosen = model;
    }
  }
  PolicyResult result = ExecuteSteps(aRequest, chosen, kNoModel, true);
  result.mExpectedQuality = result.mPassed ? 1 : 0;
  return result;
}

void
AddResult(Day& aDay, const BenchRequest& aRequest, const PolicyResult& aResult)
{
  Window& window =
    aDay[static_cast<std::size_t>(aRequest.mArrivalMs / kWindowMs)];
  window.mCost += aResult.mCost;
  window.mExpectedPasses += aResult.mExpectedQuality;
  window.mPassed += aResult.mPassed ? 1 : 0;
  window.mRequests += 1;
  window.mExplored += aResult.mExplored ? 1 : 0;
  auto index = static_cast<std::size_t>(ClassIndex(aRequest.mTruth->mClass));
  window.mClassExpected[index] += aResult.mExpectedQuality;
  window.mClassRequests[index] += 1;
}

Day
RunPolicy(const std::vector<BenchRequest>& aRequests,
          const std::function<PolicyResult(const BenchRequest&)>& aPolicy)
{
  Day day(kWindowCount);
  for (const auto& request : aRequests) {
    AddResult(day, request, aPolicy(request));
  }
  return day;
}

// A rating that will reach the entry that requested it at mDueMs.
struct PendingRating
{
  TimeMs mDueMs = 0;
  std::size_t mEntry = 0;
  RatingKey mKey;
  bool mPassed = false;

  bool operator<(const PendingRating& aOther) const
  {
    return mDueMs > aOther.mDueMs;
  }
};

// Three entries that plan with the core functions and exchange their ratings by
// gossip.
class Router
{
public:
  Router(Results& aResults, std::uint64_t aSeed)
    : mResults(aResults)
    , mRandom(aSeed)
    , mConfig(MakeBenchConfiguration())
  {
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      mRatingWriters.emplace_back("entry" + std::to_string(i), 1);
    }
  }

  PolicyResult Handle(const BenchRequest& aRequest)
  {
    AdvanceTo(aRequest.mArrivalMs);
    PolicyResult result = PlanAndExecute(aRequest);
    result.mExplored = mExplored;
    return result;
  }

  // Adds all decisions to the signature. Returns the mean time of a plan in
  // microseconds.
  double Finish()
  {
    MixDecision(mResults, mDecisions);
    return mPlanTime.count() * 1e6 / static_cast<double>(mPlanCount);
  }

private:
  PolicyResult PlanAndExecute(const BenchRequest& aRequest)
  {
    mEntry = (mEntry + 1) % kEntryCount;
    PlanInput input = MakePlanInput(aRequest);
    auto start = std::chrono::steady_clock::now();
    auto plan = PlanRequest(mConfig,
                            mConfig.mCustomers[0],
                            mRatingTables[mEntry],
                            input,
                            mOptions,
                            mRandom);
    mPlanTime += std::chrono::steady_clock::now() - start;
    ++mPlanCount;
    mExplored = plan->mExploration;
    int first = FindModel(plan->mSteps[0]);
    int second =
      plan->mSteps.size() > 1 ? FindModel(plan->mSteps[1]) : kNoModel;
    // 1. A single step, whose answer is rated only sometimes.
    if (second == kNoModel) {
      RequestRating(aRequest, *plan, 0, plan->mRateAnswer);
      mDecisions.push_back(static_cast<char>('0' + first));
      return ExecuteSteps(aRequest, first, kNoModel, true);
    }
    // 2. A cascade, which waits for the rating of its first step.
    input.mRemainingMs -= aRequest.mStepMs[ToIndex(first)] + kCascadeRatingMs;
    std::optional<bool> rating;
    if (!aRequest.mRatingLate) {
      rating = aRequest.mPasses[ToIndex(first)] != aRequest.mRatingWrong;
      TimeMs dueMs = aRequest.mArrivalMs + aRequest.mStepMs[ToIndex(first)] +
                     kCascadeRatingMs;
      mPendingRatings.push({ dueMs,
                             mEntry,
                             MakeRatingKey(*plan, 0, aRequest.mTruth->mClass),
                             *rating });
    }
    auto delivers = [&](std::optional<bool> aRating) {
      return DecideAfterStep(mConfig,
                             mConfig.mCustomers[0],
                             mRatingTables[mEntry],
                             *plan,
                             aRating,
                             input,
                             mOptions)
               .mAction == StepAction::Deliver;
    };
    bool deliverLate = delivers(std::nullopt);
    if (!delivers(rating)) {
      RequestRating(aRequest, *plan, 1, plan->mRateAnswer);
    }
    mDecisions.push_back(static_cast<char>('a' + first * kModelCount + second));
    return ExecuteSteps(aRequest, first, second, deliverLate);
  }

  static int FindModel(const Step& aStep)
  {
    return static_cast<int>(
      std::find(kModelNames.begin(), kModelNames.end(), aStep.mModel) -
      kModelNames.begin());
  }

  static PlanInput MakePlanInput(const BenchRequest& aRequest)
  {
    PlanInput input;
    input.mClass = aRequest.mTruth->mClass;
    input.mInputTokens = aRequest.mInputTokens;
    input.mOutputTokens = aRequest.mOutputTokens;
    input.mStream = aRequest.mStream;
    input.mRemainingMs = 30000;
    input.mRatingUp = IsRatingAvailable(aRequest.mArrivalMs);
    input.mRatingMs = kCascadeRatingMs;
    for (std::size_t i = 0; i < kModelCount; ++i) {
      input.mStepTimes.push_back({ kModelNames[i], aRequest.mStepMs[i] });
    }
    return input;
  }

  // Requests a rating of an answer. Without aRequested only few are rated.
  void RequestRating(const BenchRequest& aRequest,
                     const Plan& aPlan,
                     std::size_t aStep,
                     bool aRequested)
  {
    std::uniform_real_distribution<> uniform(0, 1);
    double delayMs =
      std::exponential_distribution<>(1 / kMeanRatingDelayMs)(mRatingRandom);
    double ratingRatio =
      aRequested ? kRequestedRatingRatio : kSparseRatingRatio;
    bool rated = uniform(mRatingRandom) < ratingRatio;
    bool wrong = uniform(mRatingRandom) < kWrongRatingRatio;
    TimeMs dueMs = aRequest.mArrivalMs + static_cast<TimeMs>(delayMs);
    if (!rated || !IsRatingAvailable(aRequest.mArrivalMs) ||
        !IsRatingAvailable(dueMs)) {
      return;
    }
    int model = FindModel(aPlan.mSteps[aStep]);
    mPendingRatings.push({ dueMs,
                           mEntry,
                           MakeRatingKey(aPlan, aStep, aRequest.mTruth->mClass),
                           aRequest.mPasses[ToIndex(model)] != wrong });
  }

  // Delivers due ratings, exchanges gossip, and replaces small@v1 by small@v2
  // at kVersionChangeMs.
  void AdvanceTo(TimeMs aNowMs)
  {
    while (!mPendingRatings.empty() && mPendingRatings.top().mDueMs <= aNowMs) {
      const PendingRating& rating = mPendingRatings.top();
      AddRating(mRatingTables[rating.mEntry],
                mRatingWriters[rating.mEntry],
                rating.mKey,
                rating.mPassed);
      mPendingRatings.pop();
    }
    if (aNowMs - mLastGossipMs >= kGossipIntervalMs) {
      mLastGossipMs = aNowMs;
      for (std::size_t i = 0; i < kEntryCount; ++i) {
        MergeRatings(mRatingTables[i], mRatingTables[(i + 1) % kEntryCount]);
      }
    }
    auto& versions = mConfig.mModels[0].mVersions;
    if (aNowMs >= kVersionChangeMs && versions.size() == 1) {
      versions[0].mState = VersionState::Withdrawn;
      versions.push_back({ "v2", VersionState::Serving, 0 });
    }
  }

  Results& mResults;
  std::mt19937_64 mRandom;
  std::mt19937_64 mRatingRandom{ 7 };
  Configuration mConfig;
  CascadeOptions mOptions;
  std::vector<RatingWriter> mRatingWriters;
  std::array<RatingTable, kEntryCount> mRatingTables;
  std::priority_queue<PendingRating> mPendingRatings;
  std::size_t mEntry = 0;
  bool mExplored = false;
  TimeMs mLastGossipMs = 0;
  std::string mDecisions;
  std::chrono::duration<double> mPlanTime{};
  std::int64_t mPlanCount = 0;
};

// The cost of the windows in [aBeginWindow, aEndWindow).
double
SumCost(const Day& aDay, std::size_t aBeginWindow, std::size_t aEndWindow)
{
  double cost = 0;
  for (std::size_t i = aBeginWindow; i < aEndWindow; ++i) {
    cost += aDay[i].mCost;
  }
  return cost;
}

// The lowest expected quality of a window in [aBeginWindow, aEndWindow).
double
WorstQuality(const Day& aDay, std::size_t aBeginWindow, std::size_t aEndWindow)
{
  double worst = 1;
  for (std::size_t i = aBeginWindow; i < aEndWindow; ++i) {
    worst = std::min(worst, aDay[i].mExpectedPasses / aDay[i].mRequests);
  }
  return worst;
}

// The share of windows after the first in which the sampled pass rate is below
// the target. It is high for a policy that just meets the target.
double
ShareBelowTarget(const Day& aDay)
{
  double below = 0;
  for (std::size_t i = 1; i < aDay.size(); ++i) {
    below += aDay[i].mPassed / aDay[i].mRequests < kQualityTarget ? 1 : 0;
  }
  return below / static_cast<double>(aDay.size() - 1);
}

// The lowest expected quality of a class over all windows after the first.
double
WorstClassQuality(const Day& aDay)
{
  double worst = 1;
  for (std::size_t index = 0; index < kClassCount; ++index) {
    double expected = 0;
    double requests = 0;
    for (std::size_t i = 1; i < aDay.size(); ++i) {
      expected += aDay[i].mClassExpected[index];
      requests += aDay[i].mClassRequests[index];
    }
    worst = requests > 0 ? std::min(worst, expected / requests) : worst;
  }
  return worst;
}

double
ExploredRatio(const Day& aDay)
{
  double explored = 0;
  double requests = 0;
  for (const auto& window : aDay) {
    explored += window.mExplored;
    requests += window.mRequests;
  }
  return explored / requests;
}

// The day of each policy, by name, for one deployment and seed.
using Days = std::map<std::string, Day>;

constexpr std::array<const char*, 6> kComparedPolicies{
  "best policy",     "oracle", "always best",
  "always cheapest", "random", "fixed threshold"
};

Days
RunAllPolicies(Results& aResults,
               const Workload& aWorkload,
               std::uint64_t aSeed,
               double& aPlanTimeUs)
{
  auto requests = MakeRequests(aWorkload, aSeed);
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<int> anyModel(0, kModelCount - 1);
  auto always = [](int aModel) {
    return [aModel](const BenchRequest& aRequest) {
      return ExecuteSteps(aRequest, aModel, kNoModel, true);
    };
  };
  Days days;
  Router router(aResults, aSeed);
  days["router"] = RunPolicy(requests, [&](const BenchRequest& aRequest) {
    return router.Handle(aRequest);
  });
  aPlanTimeUs = router.Finish();
  days["best policy"] = RunPolicy(requests, BestPolicy);
  days["oracle"] = RunPolicy(requests, Oracle);
  days["always best"] = RunPolicy(requests, always(kModelCount - 1));
  days["always cheapest"] = RunPolicy(requests, always(0));
  days["random"] = RunPolicy(requests, [&](const BenchRequest& aRequest) {
    return ExecuteSteps(aRequest, anyModel(random), kNoModel, true);
  });
  days["fixed threshold"] =
    RunPolicy(requests, [](const BenchRequest& aRequest) {
      int model = static_cast<int>(aRequest.mTruth->mClass.mSize);
      return ExecuteSteps(aRequest, model, kNoModel, true);
    });
  return days;
}

// A metric of the router. The best policy is its bound, and the other policies
// are its baselines. aMeasure computes the value of a policy's day.
Metric
MakePolicyMetric(const std::string& aName,
                 const std::string& aUnit,
                 Direction aDirection,
                 double aTarget,
                 const std::vector<Days>& aDaysBySeed,
                 const std::function<double(const Days&, const Day&)>& aMeasure)
{
  Metric metric;
  metric.mName = aName;
  metric.mUnit = aUnit;
  metric.mDirection = aDirection;
  metric.mTarget = aTarget;
  for (const auto& days : aDaysBySeed) {
    metric.mValues.push_back(aMeasure(days, days.at("router")));
  }
  auto median = [&](const std::string& aPolicy) {
    Metric other;
    for (const auto& days : aDaysBySeed) {
      other.mValues.push_back(aMeasure(days, days.at(aPolicy)));
    }
    return Median(other);
  };
  metric.mBound = median("best policy");
  for (const char* other : kComparedPolicies) {
    if (std::string_view(other) != "best policy") {
      metric.mBaselines.emplace_back(other, median(other));
    }
  }
  return metric;
}

Plot
MakeCostPlot(const Workload& aWorkload, const Days& aDays)
{
  Plot plot{ "cascade-cost-" + aWorkload.mName,
             "hour of the day",
             "cost of a request, micros",
             {} };
  constexpr std::size_t kWindowsPerHour = 6;
  for (const char* name :
       { "router", "best policy", "oracle", "always best" }) {
    Series series{ name, {} };
    const Day& day = aDays.at(name);
    for (std::size_t i = 0; i < kWindowCount; i += kWindowsPerHour) {
      double requests = 0;
      for (std::size_t j = i; j < i + kWindowsPerHour; ++j) {
        requests += day[j].mRequests;
      }
      series.mPoints.emplace_back(
        static_cast<double>(i) / kWindowsPerHour + 0.5,
        SumCost(day, i, i + kWindowsPerHour) / requests);
    }
    plot.mSeries.push_back(series);
  }
  return plot;
}

} // namespace

void
BenchCascade(Results& aResults)
{
  constexpr std::size_t kOutageBeginWindow = kRatingOutageStartMs / kWindowMs;
  constexpr std::size_t kOutageEndWindow = kRatingOutageEndMs / kWindowMs;
  for (const auto& workload : Deployments()) {
    std::vector<Days> daysBySeed;
    Metric planTime;
    for (auto seed : kSeeds) {
      double planTimeUs = 0;
      daysBySeed.push_back(
        RunAllPolicies(aResults, workload, seed, planTimeUs));
      planTime.mValues.push_back(planTimeUs);
    }
    auto costRatio = [](const char* aPolicy,
                        std::size_t aBeginWindow,
                        std::size_t aEndWindow) {
      return [=](const Days& aDays, const Day& aDay) {
        return SumCost(aDay, aBeginWindow, aEndWindow) /
               SumCost(aDays.at(aPolicy), aBeginWindow, aEndWindow);
      };
    };
    auto worstQuality = [](std::size_t aBeginWindow, std::size_t aEndWindow) {
      return [=](const Days&, const Day& aDay) {
        return WorstQuality(aDay, aBeginWindow, aEndWindow);
      };
    };
    const std::string& name = workload.mName;
    auto add =
      [&](const char* aSuffix,
          const char* aUnit,
          Direction aDirection,
          double aTarget,
          const std::function<double(const Days&, const Day&)>& aMeasure) {
        aResults.mMetrics.push_back(MakePolicyMetric(
          name + aSuffix, aUnit, aDirection, aTarget, daysBySeed, aMeasure));
      };
    add(" cost, best policy 1",
        "x",
        Direction::Lower,
        kMaxCostRatioToBestPolicy,
        costRatio("best policy", 0, kWindowCount));
    add(" cost, always best 1",
        "x",
        Direction::Lower,
        kMaxCostRatioToAlwaysBest,
        costRatio("always best", 0, kWindowCount));
    add(" worst 10 min quality",
        "share",
        Direction::Higher,
        kQualityTarget,
        worstQuality(1, kWindowCount));
    add(" worst, ratings down 1 h",
        "share",
        Direction::Higher,
        kQualityTarget,
        worstQuality(kOutageBeginWindow, kOutageEndWindow));
    add(" cost, ratings down 1 h",
        "x",
        Direction::Lower,
        kMaxCostRatioToBestPolicy,
        costRatio("best policy", kOutageBeginWindow, kOutageEndWindow));
    add(" worst class, whole day",
        "share",
        Direction::Higher,
        kQualityTarget,
        [](const Days&, const Day& aDay) { return WorstClassQuality(aDay); });
    add(" explored",
        "share",
        Direction::Lower,
        kMaxExploredRatio,
        [](const Days&, const Day& aDay) { return ExploredRatio(aDay); });
    add(" windows sampled below target",
        "share",
        Direction::Lower,
        0,
        [](const Days&, const Day& aDay) { return ShareBelowTarget(aDay); });
    aResults.mMetrics.back().mTarget.reset();
    planTime.mName = name + " time of a plan";
    planTime.mUnit = "us";
    aResults.mMetrics.push_back(planTime);
    aResults.mPlots.push_back(MakeCostPlot(workload, daysBySeed.front()));
  }
}

} // namespace savory::bench
