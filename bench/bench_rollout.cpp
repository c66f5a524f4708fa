#include "benchmarks.h"
#include "workload.h"

#include "savory/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace savory::bench {

namespace {

// Targets of docs/design.md, section 1.3.
constexpr double kMaxRatingsRatioToWald = 1.3;
constexpr double kMaxFalseStopRate = 0.01;
constexpr double kMaxExposure = 0.005;
constexpr double kStatedFalseStopRate = 0.01;

constexpr std::array<std::uint64_t, 5> kSeeds{ 201, 202, 203, 204, 205 };
constexpr int kDegradedRuns = 200;
constexpr int kHealthyRuns = 400;
constexpr int kWatchRuns = 60;

// The baseline version has a failure rate of 5% and kBaselineRatings ratings; a
// degraded candidate has twice the failure rate. 60% of all requests go to the
// model. Ratings are requested for answers of the candidate; of other answers,
// only few are rated.
constexpr double kBaselineFailureRate = 0.05;
constexpr double kDegradedFailureRate = 0.10;
constexpr int kBaselineRatings = 4000;
constexpr double kModelTrafficRatio = 0.6;
constexpr int kEntryCount = 3;
constexpr double kRequestsPerDay =
  kRequestsPerSecond * static_cast<double>(kDayMs) / 1000;
constexpr TimeMs kMaxRolloutMs = 10 * kDayMs;

struct PendingRating
{
  TimeMs mDueMs = 0;
  int mEntry = 0;
  bool mRated = false;
  bool mFailed = false;

  bool operator<(const PendingRating& aOther) const
  {
    return mDueMs > aOther.mDueMs;
  }
};

// The outcome of one roll-out. mExposed counts answers of the candidate.
struct RolloutRun
{
  bool mStopped = false;
  bool mEnded = false;
  int mRatings = 0;
  int mExposed = 0;
  TimeMs mEndMs = 0;
  Series mRamp;
};

// Simulates one roll-out. The candidate gets its share of the arriving requests
// within the bound on unrated answers, ratings arrive with a delay, and a
// decision follows each rating.
class RolloutSimulation
{
public:
  RolloutSimulation(double aFailureRate, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFailureRate(aFailureRate)
  {
    Model model;
    model.mName = "small";
    model.mVersions = { { "v1", VersionState::Serving, 0 },
                        { "v2", VersionState::Withdrawn, 0 } };
    mConfig.mModels.push_back(model);
    mConfig = *StartRollout(mConfig, "small", "v1", "v2");
    std::bernoulli_distribution failureDraw(kBaselineFailureRate);
    for (int i = 0; i < kBaselineRatings; ++i) {
      AddRating(mRatings,
                { "before", 1 },
                { 0, "small@v1", "" },
                !failureDraw(mRandom));
    }
  }

  RolloutRun Run(bool aRecordRamp)
  {
    std::exponential_distribution<> gapMs(kRequestsPerSecond *
                                          kModelTrafficRatio / 1000);
    double arrivalMs = 0;
    while (!mRun.mEnded && arrivalMs < static_cast<double>(kMaxRolloutMs)) {
      arrivalMs += gapMs(mRandom);
      mNowMs = static_cast<TimeMs>(arrivalMs);
      DeliverRatings();
      if (!mRun.mEnded) {
        OnArrival();
      }
      if (aRecordRamp && mRun.mRamp.mPoints.size() * 60000 < arrivalMs) {
        double hour = arrivalMs / 3600000;
        mRun.mRamp.mPoints.emplace_back(
          hour, mConfig.mModels[0].mVersions[1].mShare * 100);
      }
    }
    return mRun;
  }

private:
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  void OnArrival()
  {
    int entry = std::uniform_int_distribution<int>(0, kEntryCount - 1)(mRandom);
    auto entryIndex = static_cast<std::size_t>(entry);
    const Version& candidate = mConfig.mModels[0].mVersions[1];
    if (Uniform() >= candidate.mShare ||
        !MaySendToCandidate(mConfig.mRollouts[0],
                            mOutstandingRatings[entryIndex],
                            kEntryCount,
                            true)) {
      return;
    }
    ++mRun.mExposed;
    ++mOutstandingRatings[entryIndex];
    double delayMs =
      std::exponential_distribution<>(1 / kMeanRatingDelayMs)(mRandom);
    bool rated = Uniform() < kRequestedRatingRatio &&
                 delayMs < static_cast<double>(kRatingTimeoutMs);
    bool failed = Uniform() < mFailureRate;
    mPendingRatings.push(
      { mNowMs + (rated ? static_cast<TimeMs>(delayMs) : kRatingTimeoutMs),
        entry,
        rated,
        failed });
  }

  void DeliverRatings()
  {
    while (!mRun.mEnded && !mPendingRatings.empty() &&
           mPendingRatings.top().mDueMs <= mNowMs) {
      PendingRating rating = mPendingRatings.top();
      mPendingRatings.pop();
      --mOutstandingRatings[static_cast<std::size_t>(rating.mEntry)];
      if (!rating.mRated) {
        continue;
      }
      ++mRun.mRatings;
      AddRating(mRatings,
                { "entry" + std::to_string(rating.mEntry), 1 },
                { 0, "small@v2", "" },
                !rating.mFailed);
      EvaluateRollout();
    }
  }

  void EvaluateRollout()
  {
    auto decision = DecideRollout(mConfig.mRollouts[0], mRatings, true);
    auto next = ApplyRollout(mConfig, "small", decision.mAction);
    if (!next) {
      return;
    }
    mConfig = *next;
    if (mConfig.mRollouts.empty()) {
      mRun.mEnded = true;
      mRun.mStopped = decision.mAction == RolloutAction::Stop;
      mRun.mEndMs = mNowMs;
    }
  }

  std::mt19937_64 mRandom;
  double mFailureRate;
  Configuration mConfig;
  RatingTable mRatings;
  std::priority_queue<PendingRating> mPendingRatings;
  std::array<int, kEntryCount> mOutstandingRatings{};
  TimeMs mNowMs = 0;
  RolloutRun mRun;
};

// Number of ratings and of answers until the regression watch alarms.
struct WatchRun
{
  double mRatings = 0;
  double mExposed = 0;
};

// Simulates a version that regresses after its roll-out: for aHealthyRatings
// ratings it has the baseline failure rate, then the degraded one until the
// alarm. aRolloutRatings are its ratings from the roll-out; the total decides
// which answers are rated.
WatchRun
SimulateWatch(std::uint64_t aSeed,
              int aHealthyRatings,
              std::int64_t aRolloutRatings)
{
  std::mt19937_64 random(aSeed);
  RegressionWatch watch;
  RatingCounts counts;
  auto observe = [&](double aFailureRate) {
    bool failed = std::bernoulli_distribution(aFailureRate)(random);
    (failed ? counts.mFailed : counts.mPassed) += 1;
    return ObserveVersion(watch, counts, kBaselineFailureRate);
  };
  for (int i = 0; i < aHealthyRatings; ++i) {
    observe(kBaselineFailureRate);
  }
  WatchRun run;
  bool alarm = false;
  while (!alarm) {
    run.mRatings += 1;
    run.mExposed +=
      1 + std::geometric_distribution<int>(
            ShouldRateAnswers(aRolloutRatings + TotalRatings(counts))
              ? kRequestedRatingRatio
              : kSparseRatingRatio)(random);
    alarm = observe(kDegradedFailureRate);
  }
  return run;
}

// Number of false alarms of the watch in a million ratings of a version with
// the baseline failure rate.
double
CountFalseAlarms(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  RegressionWatch watch;
  RatingCounts counts;
  double alarms = 0;
  constexpr int kRatings = 1000000;
  for (int i = 0; i < kRatings; ++i) {
    bool failed = std::bernoulli_distribution(kBaselineFailureRate)(random);
    (failed ? counts.mFailed : counts.mPassed) += 1;
    if (ObserveVersion(watch, counts, kBaselineFailureRate)) {
      alarms += 1;
      watch = {};
    }
  }
  return alarms;
}

// Means, rates and maxima over the runs of one seed.
struct SeedFigures
{
  double mRatings = 0;
  double mExposure = 0;
  double mWorstExposure = 0;
  double mMisses = 0;
  double mFalseStops = 0;
  double mHealthyRolloutHours = 0;
  double mWatchDelayRatings = 0;
  double mWatchExposure = 0;
  double mFalseAlarms = 0;
};

SeedFigures
MeasureSeed(Results& aResults, std::uint64_t aSeed)
{
  SeedFigures figures;
  std::string decisions;
  double stopped = 0;
  // 1. Candidates with twice the failure rate. The watch detects those that the
  // test misses; their answers until then count as exposure.
  for (int i = 0; i < kDegradedRuns; ++i) {
    std::uint64_t seed = aSeed * 100000 + static_cast<std::uint64_t>(i);
    RolloutRun run = RolloutSimulation(kDegradedFailureRate, seed).Run(false);
    double exposed = run.mExposed;
    if (run.mStopped) {
      stopped += 1;
      figures.mRatings += run.mRatings;
    } else {
      figures.mMisses += 1.0 / kDegradedRuns;
      exposed += SimulateWatch(seed, 0, run.mRatings).mExposed;
    }
    figures.mExposure += exposed / kRequestsPerDay / kDegradedRuns;
    figures.mWorstExposure =
      std::max(figures.mWorstExposure, exposed / kRequestsPerDay);
    decisions += std::to_string(run.mRatings) + (run.mStopped ? "s" : "f");
  }
  figures.mRatings /= stopped;
  // 2. Candidates with the failure rate of the baseline version.
  for (int i = 0; i < kHealthyRuns; ++i) {
    std::uint64_t seed = aSeed * 100000 + 50000 + static_cast<std::uint64_t>(i);
    RolloutRun run = RolloutSimulation(kBaselineFailureRate, seed).Run(false);
    figures.mFalseStops += run.mStopped ? 1.0 / kHealthyRuns : 0;
    figures.mHealthyRolloutHours +=
      static_cast<double>(run.mEndMs) / 3600000 / kHealthyRuns;
    decisions += std::to_string(run.mRatings) + (run.mStopped ? "s" : "f");
  }
  // 3. Versions that regress after their roll-out.
  for (int i = 0; i < kWatchRuns; ++i) {
    WatchRun run = SimulateWatch(
      aSeed * 100000 + 90000 + static_cast<std::uint64_t>(i), 2000, 0);
    figures.mWatchDelayRatings += run.mRatings / kWatchRuns;
    figures.mWatchExposure += run.mExposed / kRequestsPerDay / kWatchRuns;
    decisions += std::to_string(static_cast<int>(run.mRatings)) + "w";
  }
  figures.mFalseAlarms = CountFalseAlarms(aSeed);
  MixDecision(aResults, decisions);
  return figures;
}

// The number of ratings that a test of fixed size needs for the stated error
// rates.
double
FixedTestSize()
{
  constexpr double kOnePercentQuantile = 2.326;
  constexpr double kFivePercentQuantile = 1.645;
  double baselineDeviation =
    std::sqrt(kBaselineFailureRate * (1 - kBaselineFailureRate));
  double degradedDeviation =
    std::sqrt(kDegradedFailureRate * (1 - kDegradedFailureRate));
  double size = (kOnePercentQuantile * baselineDeviation +
                 kFivePercentQuantile * degradedDeviation) /
                (kDegradedFailureRate - kBaselineFailureRate);
  return size * size;
}

} // namespace

void
BenchRollout(Results& aResults)
{
  std::vector<SeedFigures> all;
  all.reserve(kSeeds.size());
  for (auto seed : kSeeds) {
    all.push_back(MeasureSeed(aResults, seed));
  }
  auto add = [&](const char* aName,
                 const char* aUnit,
                 double SeedFigures::*aField) -> Metric& {
    Metric metric;
    metric.mName = std::string("rollout ") + aName;
    metric.mUnit = aUnit;
    for (const auto& figures : all) {
      metric.mValues.push_back(figures.*aField);
    }
    aResults.mMetrics.push_back(metric);
    return aResults.mMetrics.back();
  };
  RolloutOptions stated;
  stated.mFalseStopRate = kStatedFalseStopRate;
  double wald = MeanRatingsUntilStop(
    MakeSequentialTest(kBaselineFailureRate, stated), stated);
  Metric& ratings = add("ratings until stop", "n", &SeedFigures::mRatings);
  ratings.mTarget = kMaxRatingsRatioToWald * wald;
  ratings.mBound = wald;
  ratings.mBaselines = { { "fixed size", FixedTestSize() } };
  Metric& exposure =
    add("exposure, share of a day", "share", &SeedFigures::mExposure);
  exposure.mTarget = kMaxExposure;
  exposure.mBound = wald / kRequestedRatingRatio / kRequestsPerDay;
  exposure.mBaselines = { { "all at once, sparse ratings",
                            FixedTestSize() / kSparseRatingRatio /
                              kRequestsPerDay },
                          { "no test", kModelTrafficRatio } };
  add("worst exposure", "share", &SeedFigures::mWorstExposure);
  Metric& misses =
    add("misses at twice the rate", "share", &SeedFigures::mMisses);
  misses.mBound = stated.mMissRate;
  Metric& falseStops = add("false stops", "share", &SeedFigures::mFalseStops);
  falseStops.mTarget = kMaxFalseStopRate;
  falseStops.mBound = kStatedFalseStopRate;
  add("time of a good roll-out", "h", &SeedFigures::mHealthyRolloutHours);
  Metric& delay =
    add("watch delay", "ratings", &SeedFigures::mWatchDelayRatings);
  delay.mBound = MeanDetectionDelay(kBaselineFailureRate);
  add("watch exposure, share of a day", "share", &SeedFigures::mWatchExposure);
  Metric& alarms =
    add("watch false alarms", "per 1e6", &SeedFigures::mFalseAlarms);
  alarms.mBound = 1;
  Plot plot{ "rollout-ramp",
             "hours since the start",
             "share of the candidate, percent",
             {} };
  for (double rate : { kBaselineFailureRate, kDegradedFailureRate }) {
    Series series = RolloutSimulation(rate, kSeeds[0]).Run(true).mRamp;
    series.mName = rate == kBaselineFailureRate ? "as good as before"
                                                : "fails twice as often";
    plot.mSeries.push_back(series);
  }
  aResults.mPlots.push_back(plot);
}

} // namespace savory::bench
