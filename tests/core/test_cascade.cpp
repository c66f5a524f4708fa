#include "savory/core/cascade.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

Configuration
ThreeModels()
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
Ordinary()
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
Exploring(double aShare)
{
  CascadeOptions options;
  options.mExplorationShare = aShare;
  options.mPromisingShare = aShare;
  return options;
}

const CascadeOptions kNoExploration = Exploring(0);

std::string
PlanText(const Configuration& aConfig,
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
Rated(const std::string& aVersion, int aPassed, int aFailed)
{
  RatingTable table;
  for (int i = 0; i < aPassed + aFailed; ++i) {
    AddRating(table, { "entry", 1 }, { 0, aVersion, "" }, i < aPassed);
  }
  return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cascade)

// Guards against a cascade where it cannot be verified, is too slow or is not
// wanted, and against paying for the best where the cheapest is good enough.
BOOST_AUTO_TEST_CASE(steps_follow_ratings_deadline_streams_and_outage)
{
  Configuration config = ThreeModels();
  PlanInput input = Ordinary();
  BOOST_TEST(PlanText(config, {}, input) == "small large ");
  BOOST_TEST(PlanText(config, Rated("small@v1", 970, 30), input) == "small ");
  input.mStream = true;
  BOOST_TEST(PlanText(config, {}, input) == "large ");
  input = Ordinary();
  input.mRemainingMs = 4000;
  BOOST_TEST(PlanText(config, {}, input) == "large ");
  input = Ordinary();
  config.mPresets[0].mMaxSteps = 1;
  BOOST_TEST(PlanText(config, {}, input) == "large ");
}

// Guards against unproven versions and cascades while the rating service is
// down, and against refusing proven ones.
BOOST_AUTO_TEST_CASE(an_outage_of_ratings_leaves_proven_single_steps)
{
  Configuration config = ThreeModels();
  config.mModels[0].mQuality = 0.95;
  PlanInput input = Ordinary();
  input.mRatingUp = false;
  BOOST_TEST(PlanText(config, Rated("small@v1", 29, 0), input) == "large ");
  BOOST_TEST(PlanText(config, Rated("small@v1", 200, 0), input) == "small ");
  config.mModels[0].mVersions.push_back({ "v2", VersionState::Candidate, 1 });
  BOOST_TEST(PlanText(config, Rated("small@v1", 200, 0), input) == "small ");
  std::mt19937_64 random(5);
  auto plan =
    PlanRequest(config, config.mCustomers[0], {}, input, Exploring(1), random);
  BOOST_TEST(!plan->mExploration);
  BOOST_TEST(plan->mSteps[0].mModel == "large");
}

// Guards against a preset that gives up something else than it states.
BOOST_AUTO_TEST_CASE(each_preset_gives_way_as_it_states)
{
  Configuration config = ThreeModels();
  PlanInput input = Ordinary();
  input.mRemainingMs = 2000;
  config.mPresets[0].mGiveWay = GiveWay::Quality;
  BOOST_TEST(PlanText(config, {}, input) == "small ");
  config.mPresets[0].mGiveWay = GiveWay::Deadline;
  BOOST_TEST(PlanText(config, {}, input) == "small large ");
  config.mPresets[0].mGiveWay = GiveWay::Cost;
  config.mPresets[0].mQualityTarget = 0.999;
  input.mRemainingMs = 3500;
  BOOST_TEST(PlanText(config, {}, input) == "large ");
}

// Guards against an answer that is late for a rating that never came, and
// against one that is delivered although its rating failed in good time.
BOOST_AUTO_TEST_CASE(escalation_follows_rating_and_time)
{
  Configuration config = ThreeModels();
  Plan plan;
  plan.mSteps = { { "small", "v1", 0.8 }, { "large", "v1", 0.97 } };
  PlanInput input = Ordinary();
  auto decide = [&](std::optional<bool> aPassed) {
    auto decision = DecideAfterStep(
      config, config.mCustomers[0], {}, plan, aPassed, input, kNoExploration);
    BOOST_TEST(!decision.mReason.empty());
    return decision.mAction == AfterStep::Escalate;
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

// Guards against ratings that are counted twice or lost when gossip repeats,
// reorders or mixes messages of several entries.
BOOST_AUTO_TEST_CASE(merged_ratings_do_not_depend_on_order_or_repetition)
{
  bool held = rc::check([] {
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
      RC_ASSERT(TotalOf(counts) == 60);
    }
    TrimRatings(entries[0], 1, { "entry0", 1 });
    RatingTable kept;
    MergeRatings(kept, entries[0]);
    RC_ASSERT(FirstStepCounts(kept, "small@v1") ==
              FirstStepCounts(entries[0], "small@v1"));
  });
  BOOST_TEST(held);
}

// Guards against a gossip message of any shape that throws or makes counts
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
