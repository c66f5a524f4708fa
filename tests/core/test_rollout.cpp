#include "savory/core/rollout.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace savory;

namespace {

const std::string kModel = "small";

Configuration
MakeConfiguration()
{
  Configuration config;
  config.mRevision = 7;
  Model model;
  model.mName = kModel;
  model.mVersions = { { "v1", VersionState::Serving, 0 },
                      { "v2", VersionState::Withdrawn, 0 } };
  config.mModels.push_back(model);
  return config;
}

// Adds one rating of the candidate, which fails with probability `aFails`.
void
AddCandidateRating(RatingTable& aTable,
                   const RatingWriter& aWriter,
                   double aFails,
                   std::mt19937_64& aRandom)
{
  std::bernoulli_distribution fails(aFails);
  AddRating(aTable, aWriter, { 0, "small@v2", "" }, !fails(aRandom));
}

// 4,000 ratings of the baseline version, which fails at 5%.
RatingTable
MakeBaselineRatings()
{
  RatingTable table;
  for (int i = 0; i < 4000; ++i) {
    AddRating(table, { "old", 1 }, { 0, "small@v1", "" }, i % 20 != 0);
  }
  return table;
}

struct RolloutResult
{
  Configuration mConfig;
  int mRatings = 0;
};

// Runs a roll-out to its end. After every `aRatingsPerProcess` ratings another
// process continues, which knows only the configuration and the gossiped
// counts.
RolloutResult
RunRollout(double aFails, std::uint64_t aSeed, int aRatingsPerProcess)
{
  std::mt19937_64 random(aSeed);
  RolloutResult result{ *StartRollout(MakeConfiguration(), kModel, "v1", "v2"),
                        0 };
  RatingTable table = MakeBaselineRatings();
  std::int64_t incarnation = 1;
  while (!result.mConfig.mRollouts.empty()) {
    AddCandidateRating(table, { "entry", incarnation }, aFails, random);
    ++result.mRatings;
    if (result.mRatings % aRatingsPerProcess == 0) {
      table = *RatingsFromJson(RatingsToJson(table));
      ++incarnation;
    }
    auto decision = DecideRollout(result.mConfig.mRollouts[0], table, true);
    auto next = ApplyRollout(result.mConfig, kModel, decision.mAction);
    result.mConfig = next ? *next : result.mConfig;
  }
  return result;
}

bool
Stopped(const RolloutResult& aResult)
{
  return aResult.mConfig.mModels[0].mVersions[1].mState ==
         VersionState::Withdrawn;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout)

// Guards against a sequential test that exceeds its stated error rates.
BOOST_AUTO_TEST_CASE(error_rates_hold_over_seeds)
{
  constexpr int kRuns = 1000;
  int falseStops = 0;
  int misses = 0;
  double ratings = 0;
  for (int seed = 0; seed < kRuns; ++seed) {
    auto base = static_cast<std::uint64_t>(seed);
    falseStops += Stopped(RunRollout(0.05, base, 1 << 30)) ? 1 : 0;
    RolloutResult bad = RunRollout(0.10, base + 5000, 1 << 30);
    misses += Stopped(bad) ? 0 : 1;
    ratings += bad.mRatings;
  }
  RolloutOptions stated;
  stated.mFalseStopRate = 0.01;
  double mean = MeanRatingsUntilStop(MakeSequentialTest(0.05, stated), stated);
  BOOST_TEST_MESSAGE("false stops " << falseStops << ", misses " << misses
                                    << ", ratings " << ratings / kRuns
                                    << ", Wald " << mean);
  BOOST_TEST(falseStops <= kRuns / 100);
  // Three standard deviations above 5%.
  BOOST_TEST(misses <= kRuns * 0.07);
  BOOST_TEST(ratings / kRuns <= 1.3 * mean);
}

// Guards against a roll-out that restarts or stalls for ever when the process
// that drives it is replaced.
BOOST_AUTO_TEST_CASE(replacing_the_process_does_not_change_the_result)
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    RolloutResult uninterrupted = RunRollout(0.08, seed, 1 << 30);
    RolloutResult replaced = RunRollout(0.08, seed, 7);
    BOOST_TEST(uninterrupted.mRatings == replaced.mRatings);
    BOOST_TEST(uninterrupted.mConfig.mRevision == replaced.mConfig.mRevision);
    BOOST_TEST(Stopped(uninterrupted) == Stopped(replaced));
  }
}

// Guards against skipped stages, versions in the wrong state at the end, and a
// decision that reverts an operator's withdrawal.
BOOST_AUTO_TEST_CASE(rollout_passes_all_stages_and_finishes_or_stops)
{
  auto config = *StartRollout(MakeConfiguration(), kModel, "v1", "v2");
  BOOST_TEST(!StartRollout(config, kModel, "v1", "v2"));
  Configuration withdrawn = *WithdrawVersion(config, kModel, "v2");
  BOOST_TEST(withdrawn.mRollouts.empty());
  withdrawn.mRollouts = config.mRollouts;
  BOOST_TEST(!ApplyRollout(withdrawn, kModel, RolloutAction::Finish));
  for (std::size_t stage = 0; stage + 1 < kStageShares.size(); ++stage) {
    BOOST_TEST(config.mModels[0].mVersions[1].mShare == kStageShares[stage]);
    BOOST_TEST(config.mRevision == 8 + static_cast<int>(stage));
    BOOST_TEST(!ApplyRollout(config, kModel, RolloutAction::Continue));
    config = *ApplyRollout(config, kModel, RolloutAction::NextStage);
  }
  auto stopped = *ApplyRollout(config, kModel, RolloutAction::Stop);
  BOOST_TEST(
    (stopped.mModels[0].mVersions[1].mState == VersionState::Withdrawn));
  BOOST_TEST((stopped.mModels[0].mVersions[0].mState == VersionState::Serving));
  auto done = *ApplyRollout(config, kModel, RolloutAction::Finish);
  BOOST_TEST((done.mModels[0].mVersions[1].mState == VersionState::Serving));
  BOOST_TEST((done.mModels[0].mVersions[0].mState == VersionState::Draining));
  BOOST_TEST(done.mRollouts.empty());
  // When the finished version is withdrawn, its baseline version serves again.
  auto back = *WithdrawVersion(done, kModel, "v2");
  BOOST_TEST((back.mModels[0].mVersions[0].mState == VersionState::Serving));
  BOOST_TEST(!WithdrawVersion(back, kModel, "v1"));
}

// Guards against a candidate that advances, or receives unlimited work, while
// its answers are not rated.
BOOST_AUTO_TEST_CASE(rollout_does_not_advance_without_ratings)
{
  auto config = *StartRollout(MakeConfiguration(), kModel, "v1", "v2");
  const Rollout& rollout = config.mRollouts[0];
  RatingTable table = MakeBaselineRatings();
  BOOST_TEST(
    (DecideRollout(rollout, table, false).mAction == RolloutAction::Pause));
  BOOST_TEST(
    (DecideRollout(rollout, {}, true).mAction == RolloutAction::Pause));
  BOOST_TEST(
    (DecideRollout(rollout, table, true).mAction == RolloutAction::Continue));
  BOOST_TEST(MaySendToCandidate(rollout, 7, 1, true));
  BOOST_TEST(!MaySendToCandidate(rollout, 8, 1, true));
  BOOST_TEST(!MaySendToCandidate(rollout, 2, 4, true));
  BOOST_TEST(MaySendToCandidate(rollout, 0, 100, true));
  BOOST_TEST(!MaySendToCandidate(rollout, 0, 1, false));
  BOOST_TEST(ShouldRateAnswers(0));
  BOOST_TEST(!ShouldRateAnswers(kWatchedRatings));
}

// Guards against an undetected regression of a version after its roll-out, and
// against alarms on a version without one.
BOOST_AUTO_TEST_CASE(cusum_detects_a_regression_without_false_alarms)
{
  int falseAlarms = 0;
  double delay = 0;
  constexpr int kRuns = 50;
  for (std::uint64_t seed = 0; seed < kRuns; ++seed) {
    std::mt19937_64 random(seed);
    RegressionWatch watch;
    RatingCounts counts;
    auto observe = [&](double aFails) {
      bool failed = std::bernoulli_distribution(aFails)(random);
      (failed ? counts.mFailed : counts.mPassed) += 1;
      return ObserveVersion(watch, counts, 0.05);
    };
    for (int i = 0; i < 20000; ++i) {
      falseAlarms += observe(0.05) ? 1 : 0;
    }
    do {
      delay += 1;
    } while (!observe(0.10));
  }
  BOOST_TEST(falseAlarms == 0);
  BOOST_TEST(delay / kRuns <= 1.1 * MeanDetectionDelay(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
