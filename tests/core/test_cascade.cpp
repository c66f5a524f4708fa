#include "savory/core/cascade.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

Configuration
MakeConfiguration()
{
  Configuration config;
  auto versions = std::vector<Version>{ { "v1", VersionState::Serving, 0 } };
  config.mModels = { { .mName = "small",
                       .mInputCostPerToken = 1,
                       .mOutputCostPerToken = 4,
                       .mQuality = 0.78,
                       .mVersions = versions },
                     { .mName = "large",
                       .mInputCostPerToken = 15,
                       .mOutputCostPerToken = 60,
                       .mQuality = 0.97,
                       .mVersions = versions } };
  config.mCustomers.resize(1);
  config.mCustomers[0].mAllowedModels = { "small", "large" };
  config.mPresets = { { .mName = "p", .mQualityTarget = 0.9 } };
  config.mPresetInForce = "p";
  return config;
}

PlanInput
MakeInput()
{
  PlanInput input;
  input.mInputTokens = 100;
  input.mOutputTokens = 100;
  input.mRemainingMs = 10000;
  input.mRatingMs = 500;
  input.mStepTimes = { { "small", 1000 }, { "large", 3000 } };
  return input;
}

CascadeOptions
MakeOptions(double aShare)
{
  CascadeOptions options;
  options.mExplorationShare = aShare;
  options.mPromisingShare = aShare;
  return options;
}

const CascadeOptions kNoExploration = MakeOptions(0);

std::string
PlannedModels(const Configuration& aConfig,
              const RatingTable& aRatings,
              const PlanInput& aInput)
{
  std::mt19937_64 random(3);
  auto plan = PlanRequest(
    aConfig, aConfig.mCustomers[0], aRatings, aInput, kNoExploration, random);
  std::string text;
  for (const auto& step : plan->mSteps) {
    text += step.mModel + " ";
  }
  return text;
}

RatingTable
MakeRatings(const std::string& aVersion, int aPassed, int aFailed)
{
  RatingTable table;
  for (int i = 0; i < aPassed + aFailed; ++i) {
    AddRating(table, { "entry", 1 }, { 0, aVersion, "" }, i < aPassed);
  }
  return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cascade)

// Guards against a cascade for a stream, which cannot be rated, beyond the
// deadline or beyond the preset's maximum of steps, and against the expensive
// model where the ratings of the cheap one meet the target.
BOOST_AUTO_TEST_CASE(steps_follow_ratings_deadline_streams_and_preset)
{
  Configuration config = MakeConfiguration();
  PlanInput input = MakeInput();
  BOOST_TEST(PlannedModels(config, {}, input) == "small large ");
  BOOST_TEST(PlannedModels(config, MakeRatings("small@v1", 970, 30), input) ==
             "small ");
  input.mStream = true;
  BOOST_TEST(PlannedModels(config, {}, input) == "large ");
  input = MakeInput();
  input.mRemainingMs = 4000;
  BOOST_TEST(PlannedModels(config, {}, input) == "large ");
  input = MakeInput();
  config.mPresets[0].mMaxSteps = 1;
  BOOST_TEST(PlannedModels(config, {}, input) == "large ");
}

// While the rating service is down, guards against versions with too few
// ratings, cascades and exploration, and against excluding versions with enough
// ratings.
BOOST_AUTO_TEST_CASE(rating_outage_allows_single_steps_of_proven_versions)
{
  Configuration config = MakeConfiguration();
  config.mModels[0].mQuality = 0.95;
  PlanInput input = MakeInput();
  input.mRatingUp = false;
  BOOST_TEST(PlannedModels(config, MakeRatings("small@v1", 29, 0), input) ==
             "large ");
  BOOST_TEST(PlannedModels(config, MakeRatings("small@v1", 200, 0), input) ==
             "small ");
  config.mModels[0].mVersions.push_back({ "v2", VersionState::Candidate, 1 });
  BOOST_TEST(PlannedModels(config, MakeRatings("small@v1", 200, 0), input) ==
             "small ");
  std::mt19937_64 random(5);
  auto plan = PlanRequest(
    config, config.mCustomers[0], {}, input, MakeOptions(1), random);
  BOOST_TEST(!plan->mExploration);
  BOOST_TEST(plan->mSteps[0].mModel == "large");
}

// Guards against a preset that gives up another goal than the one configured.
BOOST_AUTO_TEST_CASE(each_preset_gives_way_as_configured)
{
  Configuration config = MakeConfiguration();
  PlanInput input = MakeInput();
  input.mRemainingMs = 2000;
  config.mPresets[0].mGiveWay = GiveWay::Quality;
  BOOST_TEST(PlannedModels(config, {}, input) == "small ");
  config.mPresets[0].mGiveWay = GiveWay::Deadline;
  BOOST_TEST(PlannedModels(config, {}, input) == "small large ");
  config.mPresets[0].mGiveWay = GiveWay::Cost;
  config.mPresets[0].mQualityTarget = 0.999;
  input.mRemainingMs = 3500;
  BOOST_TEST(PlannedModels(config, {}, input) == "large ");
}

// Guards against an answer that becomes late because no rating arrives, and
// against delivery of an answer whose rating failed while there was time for
// another step.
BOOST_AUTO_TEST_CASE(escalation_follows_rating_and_time)
{
  Configuration config = MakeConfiguration();
  Plan plan;
  plan.mSteps = { { "small", "v1", 0.8 }, { "large", "v1", 0.97 } };
  PlanInput input = MakeInput();
  auto decide = [&](std::optional<bool> aPassed) {
    auto decision = DecideAfterStep(
      config, config.mCustomers[0], {}, plan, aPassed, input, kNoExploration);
    BOOST_TEST(!decision.mReason.empty());
    return decision.mAction == StepAction::Escalate;
  };
  BOOST_TEST(!decide(true));
  BOOST_TEST(decide(false));
  BOOST_TEST(decide(std::nullopt));
  plan.mSteps[0].mPassRate = 0.95;
  BOOST_TEST(!decide(std::nullopt));
  input.mRemainingMs = 2000;
  BOOST_TEST(!decide(false));
  config.mPresets[0].mGiveWay = GiveWay::Deadline;
  BOOST_TEST(decide(false));
}

// Guards against ratings that are counted twice or lost when gossip messages of
// several entries are repeated, reordered or mixed.
BOOST_AUTO_TEST_CASE(merged_ratings_do_not_depend_on_order_or_repetition)
{
  bool passes = rc::check([] {
    std::vector<RatingTable> entries(3);
    std::int64_t passed = 0;
    for (int i = 0; i < 60; ++i) {
      auto entry = *rc::gen::inRange<std::size_t>(0, 3);
      bool pass = *rc::gen::arbitrary<bool>();
      passed += pass ? 1 : 0;
      AddRating(entries[entry],
                { "entry" + std::to_string(entry), 1 },
                { i % kClassCount, "small@v1", "" },
                pass);
      auto from = *rc::gen::inRange<std::size_t>(0, 3);
      auto read = RatingsFromJson(RatingsToJson(entries[from]));
      RC_ASSERT(read.has_value());
      MergeRatings(entries[(from + 1) % 3], *read);
    }
    for (int round = 0; round < 3; ++round) {
      for (std::size_t i = 0; i < 3; ++i) {
        MergeRatings(entries[i], entries[(i + 1) % 3]);
      }
    }
    for (auto& table : entries) {
      auto counts = FirstStepCounts(table, "small@v1");
      RC_ASSERT(counts.mPassed == passed);
      RC_ASSERT(TotalRatings(counts) == 60);
    }
    TrimRatings(entries[0], 1, { "entry0", 1 });
    RatingTable kept;
    MergeRatings(kept, entries[0]);
    RC_ASSERT(FirstStepCounts(kept, "small@v1") ==
              FirstStepCounts(entries[0], "small@v1"));
  });
  BOOST_TEST(passes);
}

// Guards against a malformed gossip message that throws or makes counts
// negative.
BOOST_AUTO_TEST_CASE(malformed_rating_rows_are_refused)
{
  using nlohmann::json;
  auto row = [](const json& aCells) {
    return json::array(
      { { { "host", "a" }, { "incarnation", 1 }, { "cells", aCells } } });
  };
  BOOST_TEST(!RatingsFromJson(json::object()));
  BOOST_TEST(!RatingsFromJson(json::array({ 1 })));
  BOOST_TEST(!RatingsFromJson(row({ { 0, "m@v", "", -1, 0 } })));
  BOOST_TEST(!RatingsFromJson(row({ { 9, "m@v", "", 1, 0 } })));
  BOOST_TEST(!RatingsFromJson(row({ { 0, 1, "", 1, 0 } })));
  BOOST_TEST(RatingsFromJson(row(json::array())).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
