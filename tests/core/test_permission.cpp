#include "savory/core/cascade.h"
#include "savory/core/identity.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

Configuration
TwoVersions()
{
  Configuration config;
  config.mSessionSecret = "secret";
  config.mModels = {
    { .mName = "small",
      .mVersions = { { "v1", VersionState::Serving, 0 },
                     { "v2", VersionState::Candidate, 0.5 } } },
    { .mName = "large", .mVersions = { { "v1", VersionState::Serving, 0 } } },
  };
  config.mCustomers.resize(2);
  config.mCustomers[0].mAllowedModels = { "small", "large" };
  config.mCustomers[1].mAllowedModels = { "small@v1" };
  config.mPresets = { { .mName = "ordinary" } };
  config.mPresetInForce = "ordinary";
  return config;
}

// Plans and executes cascades of the customer that may use only small@v1, under
// every preset goal and with random failures. Returns the number of steps on
// versions that the customer may not use.
int
ForbiddenSteps(const SafetyChecks& aChecks)
{
  Configuration config = TwoVersions();
  const Customer& customer = config.mCustomers[1];
  CascadeOptions options;
  options.mExplorationShare = 0.2;
  options.mPromisingShare = 0.2;
  options.mChecks = aChecks;
  std::mt19937_64 random(11);
  int forbidden = 0;
  auto countForbidden = [&](const Step& aStep) {
    forbidden += IsAllowed(customer, aStep.mModel, aStep.mVersion) ? 0 : 1;
  };
  for (int i = 0; i < 3000; ++i) {
    config.mPresets[0].mGiveWay = static_cast<GiveWay>(i % 3);
    PlanInput input;
    input.mRemainingMs = 1000;
    input.mStream = i % 5 == 0;
    input.mRatingUp = i % 7 != 0;
    auto plan = PlanRequest(config, customer, {}, input, options, random);
    BOOST_REQUIRE(plan.has_value());
    for (const auto& step : plan->mSteps) {
      countForbidden(step);
    }
    // A retry after the planned versions failed, then an escalation to a
    // version that the customer may not use.
    for (const auto& step : plan->mSteps) {
      input.mExcluded.push_back(QualifiedVersion(step.mModel, step.mVersion));
    }
    if (auto retry =
          PlanRequest(config, customer, {}, input, options, random)) {
      countForbidden(retry->mSteps[0]);
    }
    plan->mSteps.resize(2, { "large", "v1" });
    auto next =
      DecideAfterStep(config, customer, {}, *plan, false, input, options);
    if (next.mAction == StepAction::Escalate) {
      countForbidden(next.mNext);
    }
  }
  return forbidden;
}

// Withdraws the version of a planned second step between the steps. Returns how
// often the withdrawn version is still chosen.
int
WithdrawnSteps(const SafetyChecks& aChecks)
{
  CascadeOptions options;
  options.mChecks = aChecks;
  std::mt19937_64 random(12);
  int withdrawn = 0;
  for (int i = 0; i < 100; ++i) {
    Configuration config = TwoVersions();
    config.mModels[1].mVersions[0].mState = VersionState::Withdrawn;
    const Customer& customer = config.mCustomers[0];
    PlanInput input;
    input.mRemainingMs = 1000;
    Plan plan;
    plan.mSteps = { { "small", "v2" }, { "large", "v1" } };
    auto next =
      DecideAfterStep(config, customer, {}, plan, false, input, options);
    withdrawn +=
      next.mAction == StepAction::Escalate && next.mNext.mModel == "large" ? 1
                                                                           : 0;
    auto replanned = PlanRequest(config, customer, {}, input, options, random);
    for (const auto& step : replanned->mSteps) {
      withdrawn += step.mModel == "large" ? 1 : 0;
    }
  }
  return withdrawn;
}

// Routes signed sessions and a session with an id chosen by the caller through
// the stages of a roll-out. Returns how often one of them changes its version.
int
SessionChanges(const SafetyChecks& aChecks)
{
  Configuration config = TwoVersions();
  const Customer& customer = config.mCustomers[0];
  std::vector<std::string> sessions{ "chosen-by-caller" };
  for (std::uint64_t nonce = 0; nonce < 20; ++nonce) {
    sessions.push_back(
      SignSession(config, { "small", nonce % 2 ? "v1" : "v2" }, nonce));
  }
  int changes = 0;
  auto versions = [&] {
    std::vector<std::string> all;
    for (const auto& session : sessions) {
      auto choice = ChooseSessionVersion(
        config, customer, session, "small", false, aChecks);
      all.push_back(choice ? choice->mVersion : "refused");
    }
    return all;
  };
  auto before = versions();
  auto countChanges = [&] {
    auto now = versions();
    for (std::size_t i = 0; i < now.size(); ++i) {
      changes += now[i] == before[i] ? 0 : 1;
    }
  };
  for (double share : { 0.01, 0.05, 0.25, 0.5, 1.0 }) {
    config.mModels[0].mVersions[1].mShare = share;
    countChanges();
  }
  config.mModels[0].mVersions[1].mState = VersionState::Serving;
  countChanges();
  config.mModels[0].mVersions[0].mState = VersionState::Draining;
  countChanges();
  return changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permission)

// Guards against a step, retry or escalation on a version that the customer may
// not use (guarantee 1); the second check shows that the test detects one.
BOOST_AUTO_TEST_CASE(every_step_of_every_preset_is_permitted)
{
  BOOST_TEST(ForbiddenSteps({}) == 0);
  BOOST_TEST(ForbiddenSteps({ .mPermission = false }) > 0);
}

// Guards against a session id that gives its customer access to a version that
// only another customer may use (guarantee 1).
BOOST_AUTO_TEST_CASE(session_id_grants_no_permission)
{
  Configuration config = TwoVersions();
  const Customer& one = config.mCustomers[1];
  std::string session = SignSession(config, { "small", "v2" }, 1);
  auto choice = ChooseSessionVersion(config, one, session, "", false);
  BOOST_REQUIRE(!choice.has_value());
  BOOST_TEST((choice.error() == ErrorCode::NotAllowed));
  BOOST_TEST(!ChooseSessionVersion(config, one, "mine", "large", false));
  BOOST_TEST(ChooseSessionVersion(
               config, one, session, "", false, { .mPermission = false })
               .has_value());
}

// Guards against work that reaches a version after its withdrawal, as when the
// version is withdrawn between two steps of a request (guarantee 2).
BOOST_AUTO_TEST_CASE(withdrawn_version_receives_no_step)
{
  BOOST_TEST(WithdrawnSteps({}) == 0);
  BOOST_TEST(WithdrawnSteps({ .mVersionState = false }) > 0);
}

// Guards against a session that changes its version when the weights of a
// roll-out change (guarantee 3).
BOOST_AUTO_TEST_CASE(sessions_keep_their_version_through_a_roll_out)
{
  BOOST_TEST(SessionChanges({}) == 0);
  BOOST_TEST(SessionChanges({ .mSessionPin = false }) > 0);
}

// Guards against two entries that map concurrent first requests of one session
// to different versions when they know different stages of a roll-out.
BOOST_AUTO_TEST_CASE(entries_map_first_requests_of_a_session_alike)
{
  bool passed = rc::check([](const std::string& aSession) {
    Configuration one = TwoVersions();
    Configuration two = TwoVersions();
    two.mModels[0].mVersions[1].mShare =
      static_cast<double>(*rc::gen::inRange(0, 101)) / 100;
    auto left =
      ChooseSessionVersion(one, one.mCustomers[0], aSession, "", false);
    auto right =
      ChooseSessionVersion(two, two.mCustomers[0], aSession, "", false);
    RC_ASSERT(left && right);
    RC_ASSERT(left->mModel == right->mModel);
    RC_ASSERT(left->mVersion == right->mVersion);
  });
  BOOST_TEST(passed);
}

// Guards against a session that stays on a withdrawn version, and against a
// strict caller whose session is moved silently.
BOOST_AUTO_TEST_CASE(session_moves_only_on_withdrawal)
{
  Configuration config = TwoVersions();
  const Customer& all = config.mCustomers[0];
  std::string session = SignSession(config, { "small", "v2" }, 1);
  config.mModels[0].mVersions[1].mState = VersionState::Withdrawn;
  auto moved = ChooseSessionVersion(config, all, session, "", false);
  BOOST_REQUIRE(moved.has_value());
  BOOST_TEST(moved->mMoved);
  BOOST_TEST(moved->mVersion == "v1");
  auto strict = ChooseSessionVersion(config, all, session, "", true);
  BOOST_REQUIRE(!strict.has_value());
  BOOST_TEST((strict.error() == ErrorCode::SessionVersionWithdrawn));
}

BOOST_AUTO_TEST_SUITE_END()
