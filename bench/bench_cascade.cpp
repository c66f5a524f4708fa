#include "benchmarks.h"
#include "workload.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>

namespace savory::bench {

namespace {

// Targets of section 1.3 of the design page.
constexpr double kCostAgainstBestPolicy = 1.10;
constexpr double kCostAgainstAlwaysBest = 0.5;
constexpr double kQualityTarget = 0.9;
// Section 5.6.
constexpr double kExploredShare = 0.02;

constexpr std::array<std::uint64_t, 5> kSeeds{ 101, 102, 103, 104, 105 };
constexpr TimeMs kWindowMs = 600000;
constexpr std::size_t kWindows = kDayMs / kWindowMs;
constexpr std::size_t kEntries = 3;
constexpr TimeMs kGossipMs = 10000;
constexpr int kNone = -1;

// The steps that a policy took for one request and what came of them.
struct Taken
{
  double mCost = 0;
  double mExpectedQuality = 0;
  bool mPassed = false;
  bool mExplored = false;
};

// Sums by window of ten minutes.
struct Window
{
  double mCost = 0;
  double mExpected = 0;
  double mPassed = 0;
  double mRequests = 0;
  double mExplored = 0;
  std::array<double, kClassCount> mClassExpected{};
  std::array<double, kClassCount> mClassRequests{};
};

using Day = std::vector<Window>;

std::size_t
Index(int aModel)
{
  return static_cast<std::size_t>(aModel);
}

bool
InTime(const BenchRequest& aRequest, int aFirst, int aSecond)
{
  TimeMs time = aRequest.mStepMs[Index(aFirst)];
  if (aSecond != kNone) {
    time += kRatingMs + aRequest.mStepMs[Index(aSecond)];
  }
  return time <= 30000;
}

// Carries out one or two steps for a request. The rating of the first step is
// wrong or late as the request says.
Taken
CarryOut(const BenchRequest& aRequest,
         int aFirst,
         int aSecond,
         bool aDeliverLate)
{
  const auto& rates = TrueRates(*aRequest.mTruth, aRequest.mAtMs);
  Taken taken{ aRequest.mCost[Index(aFirst)],
               TrueQuality(rates, aFirst, aSecond, aDeliverLate),
               aRequest.mPasses[Index(aFirst)],
               false };
  bool rated = taken.mPassed != aRequest.mWrong;
  if (aSecond != kNone && (aRequest.mLate ? !aDeliverLate : !rated)) {
    taken.mCost += aRequest.mCost[Index(aSecond)];
    taken.mPassed = aRequest.mPasses[Index(aSecond)];
  }
  return taken;
}

// The cheapest steps by the true rates of the class that meet the target in
// time; the best in time when none does.
Taken
BestPolicy(const BenchRequest& aRequest)
{
  const auto& rates = TrueRates(*aRequest.mTruth, aRequest.mAtMs);
  bool cascades = !aRequest.mStream && RatingUp(aRequest.mAtMs);
  int first = 0;
  int second = kNone;
  double bestCost = 0;
  double bestQuality = -1;
  for (int one = 0; one < kModelCount; ++one) {
    bool deliver = rates[Index(one)] >= kQualityTarget;
    for (int two = kNone; two < (cascades ? kModelCount : 0); ++two) {
      if (two == one || !InTime(aRequest, one, two)) {
        continue;
      }
      double quality = TrueQuality(rates, one, two, deliver);
      double cost = aRequest.mCost[Index(one)];
      if (two != kNone) {
        cost += (1 - rates[Index(one)]) * aRequest.mCost[Index(two)];
      }
      bool meets = quality >= kQualityTarget;
      bool bestMeets = bestQuality >= kQualityTarget;
      if (meets != bestMeets ? meets
          : meets            ? cost < bestCost
                             : quality > bestQuality) {
        first = one;
        second = two;
        bestCost = cost;
        bestQuality = quality;
      }
    }
  }
  return CarryOut(
    aRequest, first, second, rates[Index(first)] >= kQualityTarget);
}

// The cheapest model whose answer passes, in time; the cheapest when none.
Taken
Oracle(const BenchRequest& aRequest)
{
  int chosen = 0;
  for (int model = kModelCount - 1; model >= 0; --model) {
    if (aRequest.mPasses[Index(model)] && InTime(aRequest, model, kNone)) {
      chosen = model;
    }
  }
  Taken taken = CarryOut(aRequest, chosen, kNone, true);
  taken.mExpectedQuality = taken.mPassed ? 1 : 0;
  return taken;
}

void
AddTo(Day& aDay, const BenchRequest& aRequest, const Taken& aTaken)
{
  Window& window = aDay[static_cast<std::size_t>(aRequest.mAtMs / kWindowMs)];
  window.mCost += aTaken.mCost;
  window.mExpected += aTaken.mExpectedQuality;
  window.mPassed += aTaken.mPassed ? 1 : 0;
  window.mRequests += 1;
  window.mExplored += aTaken.mExplored ? 1 : 0;
  auto index = static_cast<std::size_t>(ClassIndex(aRequest.mTruth->mClass));
  window.mClassExpected[index] += aTaken.mExpectedQuality;
  window.mClassRequests[index] += 1;
}

Day
RunPolicy(const std::vector<BenchRequest>& aRequests,
          const std::function<Taken(const BenchRequest&)>& aPolicy)
{
  Day day(kWindows);
  for (const auto& request : aRequests) {
    AddTo(day, request, aPolicy(request));
  }
  return day;
}

// A rating under way to the entry that asked for it.
struct PendingRating
{
  TimeMs mAtMs = 0;
  std::size_t mEntry = 0;
  RatingKey mKey;
  bool mPassed = false;

  bool operator<(const PendingRating& aOther) const
  {
    return mAtMs > aOther.mAtMs;
  }
};

// Three entries that plan by the core functions and gossip their ratings.
class Router
{
public:
  Router(Results& aResults, std::uint64_t aSeed)
    : mResults(aResults)
    , mRandom(aSeed)
    , mConfig(BenchConfiguration())
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      mWriters.emplace_back("entry" + std::to_string(i), 1);
    }
  }

  Taken Handle(const BenchRequest& aRequest)
  {
    Advance(aRequest.mAtMs);
    Taken taken = Run(aRequest);
    taken.mExplored = mExplored;
    return taken;
  }

  // Mixes all decisions into the signature; the microseconds for a plan.
  double Finish()
  {
    MixDecision(mResults, mDecisions);
    return mPlanTime.count() * 1e6 / static_cast<double>(mPlans);
  }

private:
  Taken Run(const BenchRequest& aRequest)
  {
    mEntry = (mEntry + 1) % kEntries;
    PlanInput input = InputOf(aRequest);
    auto start = std::chrono::steady_clock::now();
    auto plan = PlanRequest(mConfig,
                            mConfig.mCustomers[0],
                            mTables[mEntry],
                            input,
                            mOptions,
                            mRandom);
    mPlanTime += std::chrono::steady_clock::now() - start;
    ++mPlans;
    mExplored = plan->mExploration;
    int first = ModelOf(plan->mSteps[0]);
    int second = plan->mSteps.size() > 1 ? ModelOf(plan->mSteps[1]) : kNone;
    // 1. A single step, rated now and then.
    if (second == kNone) {
      Rate(aRequest, *plan, 0, plan->mRateAnswer);
      mDecisions.push_back(static_cast<char>('0' + first));
      return CarryOut(aRequest, first, kNone, true);
    }
    // 2. A cascade, which waits for the rating of its first step.
    input.mRemainingMs -= aRequest.mStepMs[Index(first)] + kRatingMs;
    std::optional<bool> rating;
    if (!aRequest.mLate) {
      rating = aRequest.mPasses[Index(first)] != aRequest.mWrong;
      TimeMs at = aRequest.mAtMs + aRequest.mStepMs[Index(first)] + kRatingMs;
      mPending.push({ at,
                      mEntry,
                      MakeRatingKey(*plan, 0, aRequest.mTruth->mClass),
                      *rating });
    }
    auto decide = [&](std::optional<bool> aRating) {
      return DecideAfterStep(mConfig,
                             mConfig.mCustomers[0],
                             mTables[mEntry],
                             *plan,
                             aRating,
                             input,
                             mOptions)
               .mAction == StepAction::Deliver;
    };
    bool deliverLate = decide(std::nullopt);
    if (!decide(rating)) {
      Rate(aRequest, *plan, 1, plan->mRateAnswer);
    }
    mDecisions.push_back(static_cast<char>('a' + first * kModelCount + second));
    return CarryOut(aRequest, first, second, deliverLate);
  }

  static int ModelOf(const Step& aStep)
  {
    return static_cast<int>(
      std::find(kModelNames.begin(), kModelNames.end(), aStep.mModel) -
      kModelNames.begin());
  }

  static PlanInput InputOf(const BenchRequest& aRequest)
  {
    PlanInput input;
    input.mClass = aRequest.mTruth->mClass;
    input.mInputTokens = aRequest.mInputTokens;
    input.mOutputTokens = aRequest.mOutputTokens;
    input.mStream = aRequest.mStream;
    input.mRemainingMs = 30000;
    input.mRatingUp = RatingUp(aRequest.mAtMs);
    input.mRatingMs = kRatingMs;
    for (std::size_t i = 0; i < kModelCount; ++i) {
      input.mStepTimes.push_back({ kModelNames[i], aRequest.mStepMs[i] });
    }
    return input;
  }

  // Asks for a rating of an answer; sparse unless it is wanted.
  void Rate(const BenchRequest& aRequest,
            const Plan& aPlan,
            std::size_t aStep,
            bool aWanted)
  {
    std::uniform_real_distribution<> uniform(0, 1);
    double lag =
      std::exponential_distribution<>(1 / kRatingLagMs)(mRatingRandom);
    double share = aWanted ? kRatedOnRequest : kRatedShare;
    bool rated = uniform(mRatingRandom) < share;
    bool wrong = uniform(mRatingRandom) < kWrongRatings;
    TimeMs at = aRequest.mAtMs + static_cast<TimeMs>(lag);
    if (!rated || !RatingUp(aRequest.mAtMs) || !RatingUp(at)) {
      return;
    }
    int model = ModelOf(aPlan.mSteps[aStep]);
    mPending.push({ at,
                    mEntry,
                    MakeRatingKey(aPlan, aStep, aRequest.mTruth->mClass),
                    aRequest.mPasses[Index(model)] != wrong });
  }

  // Delivers what is due, gossips, and replaces small@v1 in the morning.
  void Advance(TimeMs aNowMs)
  {
    while (!mPending.empty() && mPending.top().mAtMs <= aNowMs) {
      const PendingRating& rating = mPending.top();
      AddRating(mTables[rating.mEntry],
                mWriters[rating.mEntry],
                rating.mKey,
                rating.mPassed);
      mPending.pop();
    }
    if (aNowMs - mGossipAtMs >= kGossipMs) {
      mGossipAtMs = aNowMs;
      for (std::size_t i = 0; i < kEntries; ++i) {
        MergeRatings(mTables[i], mTables[(i + 1) % kEntries]);
      }
    }
    auto& versions = mConfig.mModels[0].mVersions;
    if (aNowMs >= kNewVersionMs && versions.size() == 1) {
      versions[0].mState = VersionState::Withdrawn;
      versions.push_back({ "v2", VersionState::Serving, 0 });
    }
  }

  Results& mResults;
  std::mt19937_64 mRandom;
  std::mt19937_64 mRatingRandom{ 7 };
  Configuration mConfig;
  CascadeOptions mOptions;
  std::vector<RatingWriter> mWriters;
  std::array<RatingTable, kEntries> mTables;
  std::priority_queue<PendingRating> mPending;
  std::size_t mEntry = 0;
  bool mExplored = false;
  TimeMs mGossipAtMs = 0;
  std::string mDecisions;
  std::chrono::duration<double> mPlanTime{};
  std::int64_t mPlans = 0;
};

// The cost of the windows in [aFrom, aTo).
double
CostOf(const Day& aDay, std::size_t aFrom, std::size_t aTo)
{
  double cost = 0;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    cost += aDay[i].mCost;
  }
  return cost;
}

// The lowest expected quality of the windows in [aFrom, aTo).
double
WorstOf(const Day& aDay, std::size_t aFrom, std::size_t aTo)
{
  double worst = 1;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    worst = std::min(worst, aDay[i].mExpected / aDay[i].mRequests);
  }
  return worst;
}

// The share of windows after the first whose sample of outcomes is below the
// target; a policy that just meets the target has many.
double
SampledBelow(const Day& aDay)
{
  double below = 0;
  for (std::size_t i = 1; i < aDay.size(); ++i) {
    below += aDay[i].mPassed / aDay[i].mRequests < kQualityTarget ? 1 : 0;
  }
  return below / static_cast<double>(aDay.size() - 1);
}

// The lowest expected quality of a class over the day after the first window.
double
WorstClass(const Day& aDay)
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
ExploredShare(const Day& aDay)
{
  double explored = 0;
  double requests = 0;
  for (const auto& window : aDay) {
    explored += window.mExplored;
    requests += window.mRequests;
  }
  return explored / requests;
}

// The days of all policies for one deployment and seed.
using Days = std::map<std::string, Day>;

constexpr std::array<const char*, 6> kOthers{
  "best policy",     "oracle", "always best",
  "always cheapest", "random", "fixed threshold"
};

Days
RunAll(Results& aResults,
       const Workload& aWorkload,
       std::uint64_t aSeed,
       double& aPlanTime)
{
  auto requests = MakeRequests(aWorkload, aSeed);
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<int> anyModel(0, kModelCount - 1);
  auto always = [](int aModel) {
    return [aModel](const BenchRequest& aRequest) {
      return CarryOut(aRequest, aModel, kNone, true);
    };
  };
  Days days;
  Router router(aResults, aSeed);
  days["router"] = RunPolicy(requests, [&](const BenchRequest& aRequest) {
    return router.Handle(aRequest);
  });
  aPlanTime = router.Finish();
  days["best policy"] = RunPolicy(requests, BestPolicy);
  days["oracle"] = RunPolicy(requests, Oracle);
  days["always best"] = RunPolicy(requests, always(kModelCount - 1));
  days["always cheapest"] = RunPolicy(requests, always(0));
  days["random"] = RunPolicy(requests, [&](const BenchRequest& aRequest) {
    return CarryOut(aRequest, anyModel(random), kNone, true);
  });
  days["fixed threshold"] =
    RunPolicy(requests, [](const BenchRequest& aRequest) {
      int model = static_cast<int>(aRequest.mTruth->mClass.mSize);
      return CarryOut(aRequest, model, kNone, true);
    });
  return days;
}

// One line; `aMeasure` gives its value for a policy's day.
Line
MakeLine(const std::string& aName,
         const std::string& aUnit,
         Better aBetter,
         double aTarget,
         const std::vector<Days>& aSeeds,
         const std::function<double(const Days&, const Day&)>& aMeasure)
{
  Line line;
  line.mName = aName;
  line.mUnit = aUnit;
  line.mBetter = aBetter;
  line.mTarget = aTarget;
  for (const auto& days : aSeeds) {
    line.mValues.push_back(aMeasure(days, days.at("router")));
  }
  auto median = [&](const std::string& aPolicy) {
    Line other;
    for (const auto& days : aSeeds) {
      other.mValues.push_back(aMeasure(days, days.at(aPolicy)));
    }
    return Median(other);
  };
  line.mBound = median("best policy");
  for (const char* other : kOthers) {
    if (std::string_view(other) != "best policy") {
      line.mBaselines.emplace_back(other, median(other));
    }
  }
  return line;
}

Plot
CostPlot(const Workload& aWorkload, const Days& aDays)
{
  Plot plot{ "cascade-cost-" + aWorkload.mName,
             "hour of the day",
             "cost of a request, micros",
             {} };
  constexpr std::size_t kPerHour = 6;
  for (const char* name :
       { "router", "best policy", "oracle", "always best" }) {
    Series series{ name, {} };
    const Day& day = aDays.at(name);
    for (std::size_t i = 0; i < kWindows; i += kPerHour) {
      double requests = 0;
      for (std::size_t j = i; j < i + kPerHour; ++j) {
        requests += day[j].mRequests;
      }
      series.mPoints.emplace_back(static_cast<double>(i) / kPerHour + 0.5,
                                  CostOf(day, i, i + kPerHour) / requests);
    }
    plot.mSeries.push_back(series);
  }
  return plot;
}

} // namespace

void
BenchCascade(Results& aResults)
{
  constexpr std::size_t kFrom = kOutageFromMs / kWindowMs;
  constexpr std::size_t kTo = kOutageToMs / kWindowMs;
  for (const auto& workload : Deployments()) {
    std::vector<Days> seeds;
    Line planTime;
    for (auto seed : kSeeds) {
      double micros = 0;
      seeds.push_back(RunAll(aResults, workload, seed, micros));
      planTime.mValues.push_back(micros);
    }
    auto against = [](const char* aPolicy, std::size_t aFrom, std::size_t aTo) {
      return [=](const Days& aDays, const Day& aDay) {
        return CostOf(aDay, aFrom, aTo) / CostOf(aDays.at(aPolicy), aFrom, aTo);
      };
    };
    auto worst = [](std::size_t aFrom, std::size_t aTo) {
      return
        [=](const Days&, const Day& aDay) { return WorstOf(aDay, aFrom, aTo); };
    };
    const std::string& name = workload.mName;
    auto add = [&](const char* aText,
                   const char* aUnit,
                   Better aBetter,
                   double aTarget,
                   const std::function<double(const Days&, const Day&)>& aDo) {
      aResults.mLines.push_back(
        MakeLine(name + aText, aUnit, aBetter, aTarget, seeds, aDo));
    };
    add(" cost, best policy 1",
        "x",
        Better::Lower,
        kCostAgainstBestPolicy,
        against("best policy", 0, kWindows));
    add(" cost, always best 1",
        "x",
        Better::Lower,
        kCostAgainstAlwaysBest,
        against("always best", 0, kWindows));
    add(" worst 10 min quality",
        "share",
        Better::Higher,
        kQualityTarget,
        worst(1, kWindows));
    add(" worst, ratings down 1 h",
        "share",
        Better::Higher,
        kQualityTarget,
        worst(kFrom, kTo));
    add(" cost, ratings down 1 h",
        "x",
        Better::Lower,
        kCostAgainstBestPolicy,
        against("best policy", kFrom, kTo));
    add(" worst class, whole day",
        "share",
        Better::Higher,
        kQualityTarget,
        [](const Days&, const Day& aDay) { return WorstClass(aDay); });
    add(" explored",
        "share",
        Better::Lower,
        kExploredShare,
        [](const Days&, const Day& aDay) { return ExploredShare(aDay); });
    add(" windows sampled below target",
        "share",
        Better::Lower,
        0,
        [](const Days&, const Day& aDay) { return SampledBelow(aDay); });
    aResults.mLines.back().mTarget.reset();
    planTime.mName = name + " time of a plan";
    planTime.mUnit = "us";
    aResults.mLines.push_back(planTime);
    aResults.mPlots.push_back(CostPlot(workload, seeds.front()));
  }
}

} // namespace savory::bench
