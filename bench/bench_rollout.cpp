#include "benchmarks.h"
#include "workload.h"

#include "savory/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace savory::bench {

namespace {

// Targets of section 1.3 of the design page.
constexpr double kRatingsAgainstWald = 1.3;
constexpr double kFalseStops = 0.01;
constexpr double kExposure = 0.005;
constexpr double kStatedFalseStop = 0.01;

constexpr std::array<std::uint64_t, 5> kSeeds{ 201, 202, 203, 204, 205 };
constexpr int kBadRuns = 200;
constexpr int kGoodRuns = 400;
constexpr int kWatchRuns = 60;

// The predecessor fails at 5% and has this many ratings; a bad candidate fails
// at twice the rate. 60% of all requests go to the model; its candidate's
// answers are rated on request, all others sparsely.
constexpr double kGoodRate = 0.05;
constexpr double kBadRate = 0.10;
constexpr int kPredecessorRatings = 4000;
constexpr double kModelShare = 0.6;
constexpr int kEntries = 3;
constexpr double kDayRequests =
  kRequestsPerSecond * static_cast<double>(kDayMs) / 1000;
constexpr TimeMs kLongestMs = 10 * kDayMs;

struct Due
{
  TimeMs mAtMs = 0;
  int mEntry = 0;
  bool mRated = false;
  bool mFailed = false;

  bool operator<(const Due& aOther) const { return mAtMs > aOther.mAtMs; }
};

// What came of one roll-out.
struct RolloutRun
{
  bool mStopped = false;
  bool mEnded = false;
  int mRatings = 0;
  int mExposed = 0;
  TimeMs mEndMs = 0;
  Series mRamp;
};

// Drives one roll-out through its day: requests arrive, the candidate gets its
// share within the bound on unrated answers, ratings come late, and each one
// is followed by a decision. After a finish the watch goes on until it alarms.
class RolloutDay
{
public:
  RolloutDay(double aFails, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFails(aFails)
  {
    Model model;
    model.mName = "small";
    model.mVersions = { { "v1", VersionState::Serving, 0 },
                        { "v2", VersionState::Withdrawn, 0 } };
    mConfig.mModels.push_back(model);
    mConfig = *StartRollout(mConfig, "small", "v1", "v2");
    std::bernoulli_distribution fails(kGoodRate);
    for (int i = 0; i < kPredecessorRatings; ++i) {
      AddRating(
        mRatings, { "before", 1 }, { 0, "small@v1", "" }, !fails(mRandom));
    }
  }

  RolloutRun Run(bool aRamp)
  {
    std::exponential_distribution<> gap(kRequestsPerSecond * kModelShare /
                                        1000);
    double at = 0;
    while (!mRun.mEnded && at < static_cast<double>(kLongestMs)) {
      at += gap(mRandom);
      mNowMs = static_cast<TimeMs>(at);
      DeliverRatings();
      if (!mRun.mEnded) {
        Arrive();
      }
      if (aRamp && mRun.mRamp.mPoints.size() * 60000 < at) {
        double hour = at / 3600000;
        mRun.mRamp.mPoints.emplace_back(
          hour, mConfig.mModels[0].mVersions[1].mShare * 100);
      }
    }
    return mRun;
  }

private:
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  void Arrive()
  {
    int entry = std::uniform_int_distribution<int>(0, kEntries - 1)(mRandom);
    auto own = static_cast<std::size_t>(entry);
    const Version& candidate = mConfig.mModels[0].mVersions[1];
    if (Uniform() >= candidate.mShare ||
        !MaySendToCandidate(
          mConfig.mRollouts[0], mOutstanding[own], kEntries, true)) {
      return;
    }
    ++mRun.mExposed;
    ++mOutstanding[own];
    double lag = std::exponential_distribution<>(1 / kRatingLagMs)(mRandom);
    bool rated = Uniform() < kRatedOnRequest &&
                 lag < static_cast<double>(kRatingTimeoutMs);
    bool failed = Uniform() < mFails;
    mDue.push({ mNowMs + (rated ? static_cast<TimeMs>(lag) : kRatingTimeoutMs),
                entry,
                rated,
                failed });
  }

  void DeliverRatings()
  {
    while (!mRun.mEnded && !mDue.empty() && mDue.top().mAtMs <= mNowMs) {
      Due due = mDue.top();
      mDue.pop();
      --mOutstanding[static_cast<std::size_t>(due.mEntry)];
      if (!due.mRated) {
        continue;
      }
      ++mRun.mRatings;
      AddRating(mRatings,
                { "entry" + std::to_string(due.mEntry), 1 },
                { 0, "small@v2", "" },
                !due.mFailed);
      Decide();
    }
  }

  void Decide()
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
  double mFails;
  Configuration mConfig;
  RatingTable mRatings;
  std::priority_queue<Due> mDue;
  std::array<int, kEntries> mOutstanding{};
  TimeMs mNowMs = 0;
  RolloutRun mRun;
};

// How a version that turned bad after its roll-out is noticed.
struct WatchRun
{
  double mRatings = 0;
  double mExposed = 0;
};

// The version answers well for `aBefore` ratings, then fails at the bad rate
// until the alarm. It has `aEarlier` ratings from its roll-out; which answers
// are rated follows from the total.
WatchRun
RunWatch(std::uint64_t aSeed, int aBefore, std::int64_t aEarlier)
{
  std::mt19937_64 random(aSeed);
  RegressionWatch watch;
  RatingCounts counts;
  auto observe = [&](double aFails) {
    bool failed = std::bernoulli_distribution(aFails)(random);
    (failed ? counts.mFailed : counts.mPassed) += 1;
    return ObserveVersion(watch, counts, kGoodRate);
  };
  for (int i = 0; i < aBefore; ++i) {
    observe(kGoodRate);
  }
  WatchRun run;
  bool alarm = false;
  while (!alarm) {
    run.mRatings += 1;
    run.mExposed += 1 + std::geometric_distribution<int>(
                          ShouldRateAnswers(aEarlier + TotalRatings(counts))
                            ? kRatedOnRequest
                            : kRatedShare)(random);
    alarm = observe(kBadRate);
  }
  return run;
}

// False alarms of the watch in a million ratings of a good version.
double
FalseAlarms(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  RegressionWatch watch;
  RatingCounts counts;
  double alarms = 0;
  constexpr int kRatings = 1000000;
  for (int i = 0; i < kRatings; ++i) {
    bool failed = std::bernoulli_distribution(kGoodRate)(random);
    (failed ? counts.mFailed : counts.mPassed) += 1;
    if (ObserveVersion(watch, counts, kGoodRate)) {
      alarms += 1;
      watch = {};
    }
  }
  return alarms;
}

// What the runs of one seed come to.
struct SeedFigures
{
  double mRatings = 0;
  double mExposure = 0;
  double mWorstExposure = 0;
  double mMisses = 0;
  double mFalseStops = 0;
  double mHours = 0;
  double mDelay = 0;
  double mDelayExposure = 0;
  double mAlarms = 0;
};

SeedFigures
MeasureSeed(Results& aResults, std::uint64_t aSeed)
{
  SeedFigures figures;
  std::string decisions;
  double stopped = 0;
  // 1. Candidates that fail twice as often. One that the test misses is found
  // by the watch, and what it answers until then counts as exposure.
  for (int i = 0; i < kBadRuns; ++i) {
    std::uint64_t seed = aSeed * 100000 + static_cast<std::uint64_t>(i);
    RolloutRun run = RolloutDay(kBadRate, seed).Run(false);
    double exposed = run.mExposed;
    if (run.mStopped) {
      stopped += 1;
      figures.mRatings += run.mRatings;
    } else {
      figures.mMisses += 1.0 / kBadRuns;
      exposed += RunWatch(seed, 0, run.mRatings).mExposed;
    }
    figures.mExposure += exposed / kDayRequests / kBadRuns;
    figures.mWorstExposure =
      std::max(figures.mWorstExposure, exposed / kDayRequests);
    decisions += std::to_string(run.mRatings) + (run.mStopped ? "s" : "f");
  }
  figures.mRatings /= stopped;
  // 2. Candidates as good as their predecessor.
  for (int i = 0; i < kGoodRuns; ++i) {
    std::uint64_t seed = aSeed * 100000 + 50000 + static_cast<std::uint64_t>(i);
    RolloutRun run = RolloutDay(kGoodRate, seed).Run(false);
    figures.mFalseStops += run.mStopped ? 1.0 / kGoodRuns : 0;
    figures.mHours += static_cast<double>(run.mEndMs) / 3600000 / kGoodRuns;
    decisions += std::to_string(run.mRatings) + (run.mStopped ? "s" : "f");
  }
  // 3. Versions that turn bad after their roll-out.
  for (int i = 0; i < kWatchRuns; ++i) {
    WatchRun run =
      RunWatch(aSeed * 100000 + 90000 + static_cast<std::uint64_t>(i), 2000, 0);
    figures.mDelay += run.mRatings / kWatchRuns;
    figures.mDelayExposure += run.mExposed / kDayRequests / kWatchRuns;
    decisions += std::to_string(static_cast<int>(run.mRatings)) + "w";
  }
  figures.mAlarms = FalseAlarms(aSeed);
  MixDecision(aResults, decisions);
  return figures;
}

// The number of ratings of a test of fixed size with the stated error rates.
double
FixedSize()
{
  constexpr double kOnePercent = 2.326;
  constexpr double kFivePercent = 1.645;
  double good = std::sqrt(kGoodRate * (1 - kGoodRate));
  double bad = std::sqrt(kBadRate * (1 - kBadRate));
  double size =
    (kOnePercent * good + kFivePercent * bad) / (kBadRate - kGoodRate);
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
                 double SeedFigures::*aField) -> Line& {
    Line line;
    line.mName = std::string("rollout ") + aName;
    line.mUnit = aUnit;
    for (const auto& figures : all) {
      line.mValues.push_back(figures.*aField);
    }
    aResults.mLines.push_back(line);
    return aResults.mLines.back();
  };
  RolloutOptions stated;
  stated.mFalseStopRate = kStatedFalseStop;
  double wald =
    MeanRatingsUntilStop(MakeSequentialTest(kGoodRate, stated), stated);
  Line& ratings = add("ratings until stop", "n", &SeedFigures::mRatings);
  ratings.mTarget = kRatingsAgainstWald * wald;
  ratings.mBound = wald;
  ratings.mBaselines = { { "fixed size", FixedSize() } };
  Line& exposure =
    add("exposure, share of a day", "share", &SeedFigures::mExposure);
  exposure.mTarget = kExposure;
  exposure.mBound = wald / kRatedOnRequest / kDayRequests;
  exposure.mBaselines = { { "all at once, sparse ratings",
                            FixedSize() / kRatedShare / kDayRequests },
                          { "no test", kModelShare } };
  add("worst exposure", "share", &SeedFigures::mWorstExposure);
  Line& misses =
    add("misses at twice the rate", "share", &SeedFigures::mMisses);
  misses.mBound = stated.mMissRate;
  Line& falseStops = add("false stops", "share", &SeedFigures::mFalseStops);
  falseStops.mTarget = kFalseStops;
  falseStops.mBound = kStatedFalseStop;
  add("time of a good roll-out", "h", &SeedFigures::mHours);
  Line& delay = add("watch delay", "ratings", &SeedFigures::mDelay);
  delay.mBound = MeanDetectionDelay(kGoodRate);
  add("watch exposure, share of a day", "share", &SeedFigures::mDelayExposure);
  Line& alarms = add("watch false alarms", "per 1e6", &SeedFigures::mAlarms);
  alarms.mBound = 1;
  Plot plot{ "rollout-ramp",
             "hours since the start",
             "share of the candidate, percent",
             {} };
  for (double rate : { kGoodRate, kBadRate }) {
    Series series = RolloutDay(rate, kSeeds[0]).Run(true).mRamp;
    series.mName =
      rate == kGoodRate ? "as good as before" : "fails twice as often";
    plot.mSeries.push_back(series);
  }
  aResults.mPlots.push_back(plot);
}

} // namespace savory::bench
