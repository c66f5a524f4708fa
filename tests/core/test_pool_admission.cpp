#include "savory/core/pool_admission.h"

#include "pool_replay.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

// An option whose first event comes after aFirstMs, with 100 tokens of
// aMsPerToken.
PoolOption
MakeOption(double aFirstMs, double aMsPerToken, double aWorkMs = 10)
{
  PoolOption option;
  option.mForecast = { aFirstMs, 0.6, 100, 0, 0.7, 0, aMsPerToken };
  option.mWorkMs = aWorkMs;
  return option;
}

PoolRequest
MakeRequest(std::vector<PoolOption> aOptions)
{
  PoolRequest request;
  request.mOptions = std::move(aOptions);
  request.mDeadlineMs = 6000;
  request.mLatencyGoalMs = 1000;
  request.mPoint = 0.5;
  return request;
}

// Long enough that the standard error of the shares is below 0.02.
double
DurationMs(double aRate)
{
  return aRate > 500 ? 20000 : 40000;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pool_admission)

// Guards against runners that work on answers that cannot end in time, and
// against refusals of requests that can, or while the pool has room.
BOOST_AUTO_TEST_CASE(decides_by_forecast_and_load)
{
  const PoolState busy{ 100, 90, 0, 0.9 };
  const PoolState queued{ 100, 100, 20, 1.2 };
  struct Row
  {
    const char* mName;
    PoolState mState;
    std::vector<PoolOption> mOptions;
    double mPoint;
    PoolAction mAction;
    PoolReason mReason;
  };
  for (const Row& row : {
         Row{ "fits",
              queued,
              { MakeOption(300, 10) },
              0.5,
              PoolAction::Place,
              PoolReason::Fits },
         Row{ "late at the median, not for the optimist",
              queued,
              { MakeOption(3000, 50) },
              0.5,
              PoolAction::Place,
              PoolReason::Fits },
         Row{ "smaller fits",
              queued,
              { MakeOption(500, 100), MakeOption(300, 10) },
              0.5,
              PoolAction::PlaceSmaller,
              PoolReason::SmallerFits },
         Row{ "none fits",
              queued,
              { MakeOption(9000, 300), MakeOption(15000, 10) },
              0.5,
              PoolAction::Refuse,
              PoolReason::CannotEnd },
         Row{ "none fits, no queue, most slots taken",
              busy,
              { MakeOption(15000, 100) },
              0.5,
              PoolAction::Refuse,
              PoolReason::CannotEnd },
         Row{ "none fits, half of the slots free, no queue",
              { 100, 49, 0, 0.49 },
              { MakeOption(15000, 100) },
              0.5,
              PoolAction::Place,
              PoolReason::SpareCapacity },
         Row{ "none fits, half of the slots free, but a queue",
              { 100, 49, 5, 0.54 },
              { MakeOption(15000, 100) },
              0.5,
              PoolAction::Refuse,
              PoolReason::CannotEnd },
         Row{ "none fits, probe",
              queued,
              { MakeOption(15000, 100) },
              0.01,
              PoolAction::Place,
              PoolReason::Probe },
         Row{ "nothing known",
              queued,
              {},
              0.5,
              PoolAction::Place,
              PoolReason::Fits },
       }) {
    PoolRequest request = MakeRequest(row.mOptions);
    request.mPoint = row.mPoint;
    PoolDecision decision = DecidePool(row.mState, request, 0);
    BOOST_TEST((decision.mAction == row.mAction), row.mName);
    BOOST_TEST((decision.mReason == row.mReason), row.mName);
  }
}

// Guards against retries that come too late for the caller, or all at once.
BOOST_AUTO_TEST_CASE(retries_are_spread_within_a_third_of_the_time_left)
{
  for (double expectedMs : { 0.0, 300.0, 1e6 }) {
    TimeMs first = SpreadRetryMs(expectedMs, 6000, 0);
    TimeMs last = SpreadRetryMs(expectedMs, 6000, 0.999);
    BOOST_TEST(first > 0);
    BOOST_TEST(last >= first * 5 / 2);
    BOOST_TEST(last <= 2000);
  }
  BOOST_TEST(SpreadRetryMs(300, -5, 0.5) == 0);
}

// Guards against answers of the largest model that miss the deadline, and
// against ones that take engine time from several others.
BOOST_AUTO_TEST_CASE(escalates_to_what_is_worth_its_engine_time)
{
  const PoolOption middle = MakeOption(200, 8, 27);
  const PoolOption largest = MakeOption(300, 30, 100);
  EscalationOptions goodMiddle;
  goodMiddle.mMiddleShare = 0.8;
  struct Row
  {
    const char* mName;
    double mConfidence;
    TimeMs mRemainingMs;
    double mPrice;
    int mChoice;
  };
  for (const Row& row : {
         Row{ "idle", 20, 20000, 0, 1 },
         Row{ "idle, confident", 60, 20000, 0, -1 },
         Row{ "little time", 20, 5000, 0, 0 },
         Row{ "too little time", 20, 600, 0, -1 },
         Row{ "busy", 20, 20000, 0.5, 0 },
         Row{ "full", 5, 20000, 1, 0 },
         Row{ "full, half confident", 52, 20000, 1, -1 },
         Row{ "overloaded", 30, 20000, 2, -1 },
       }) {
    EscalationRequest request;
    request.mConfidence = row.mConfidence;
    request.mReady = MakeOption(5, 3).mForecast;
    request.mLarger = { middle, largest };
    request.mLarger[0].mQuality =
      LargerModelQuality(row.mConfidence, 1, 2, goodMiddle);
    request.mLarger[1].mQuality =
      LargerModelQuality(row.mConfidence, 2, 2, goodMiddle);
    request.mRemainingMs = row.mRemainingMs;
    request.mGoalRemainingMs = 1500;
    request.mLoadPrice = row.mPrice;
    request.mMeanWorkMs = 60;
    auto chosen = ChooseLargerModel(request);
    BOOST_TEST((chosen ? static_cast<int>(*chosen) : -1) == row.mChoice,
               row.mName);
  }
  BOOST_TEST(LoadPrice(0.5, 0, 1000) == 0);
  BOOST_TEST(LoadPrice(1, 0, 1000) == 1);
  BOOST_TEST(LoadPrice(0.2, 400, 1000) == 0.8);
}

// Guards against second attempts at runners that are as full as the first, and
// against attempts that stay at a runner that does not answer.
BOOST_AUTO_TEST_CASE(overdue_attempts_move_only_where_it_helps)
{
  struct Row
  {
    const char* mName;
    OverdueAttempt mAttempt;
    bool mMoves;
  };
  for (const Row& row : {
         Row{ "all runners full", { 3000, true, 1500, 1400, 0.9 }, false },
         Row{ "this one is full", { 3000, true, 1500, 300, 0.9 }, true },
         Row{ "this one is silent", { 2000, false, 100, 150, 0.9 }, true },
         Row{ "lost at an idle runner", { 2000, true, 100, 150, 0.9 }, true },
         Row{ "too late", { 2000, false, 100, 150, 0.1 }, false },
       }) {
    BOOST_TEST(ShouldMoveAttempt(row.mAttempt) == row.mMoves, row.mName);
  }
}

// Guards against slots that are missed because a runner has not reported for a
// while, and against queues that are read from old reports.
BOOST_AUTO_TEST_CASE(pool_state_counts_live_runners)
{
  RunnerSet set;
  auto add = [&set](const char* aId, int aRunning, int aWaiting, TimeMs aMs) {
    RunnerState& runner = set.mRunners[aId];
    runner.mRegistration.mId = aId;
    runner.mRegistration.mService = "llm";
    runner.mRegistration.mSlots = 10;
    OnLoadReport(runner, aRunning, aWaiting, aMs);
  };
  add("a", 8, 3, 5000);
  add("b", 4, 0, 5000);
  add("c", 10, 9, 100);
  add("gone", 10, 9, 5000);
  set.mRunners["gone"].mRemoved = true;
  PoolState state = DescribePool(set, "llm", 5100);
  BOOST_TEST(state.mSlots == 30);
  BOOST_TEST(state.mTaken == 18);
  BOOST_TEST(state.mQueued == 3);
  BOOST_TEST(PoolLoad(state) == 0.7);
}

// Guards against hosts that all react to the same report at once: within the
// age of a report they follow a change by a fraction only.
BOOST_AUTO_TEST_CASE(load_is_damped)
{
  DampedLoad load;
  UpdateLoad(load, 0.2, 10000);
  UpdateLoad(load, 1.2, 10100);
  BOOST_TEST(load.mLoad < 0.2 + 0.2);
  for (TimeMs now = 10200; now <= 13000; now += 100) {
    UpdateLoad(load, 1.2, now);
  }
  BOOST_TEST(load.mLoad > 1.15);
}

// Guards against rules that serve callers worse than those before them, against
// refusals on an idle pool, and against large requests that starve.
BOOST_AUTO_TEST_CASE(callers_get_more_in_the_replay)
{
  struct Row
  {
    double mRate;
    double mMinRatio;
  };
  for (const Row& row : { Row{ 25, 0.95 },
                          Row{ 100, 0.95 },
                          Row{ 300, 1.8 },
                          Row{ 1000, 1.6 } }) {
    replay::Options options;
    options.mRate = row.mRate;
    options.mDurationMs = DurationMs(options.mRate);
    options.mAdmits = false;
    replay::Outcome before = Run(options);
    options.mAdmits = true;
    replay::Outcome now = Run(options);
    BOOST_TEST_CONTEXT("rate " << row.mRate)
    {
      BOOST_TEST(now.mWorth >= row.mMinRatio * before.mWorth);
      BOOST_TEST(now.mInTimeLargest >= now.mInTimeAll / 2);
      BOOST_TEST(now.mAttempts <= before.mAttempts);
      if (row.mRate <= 100) {
        BOOST_TEST(now.mRefused == 0);
      }
    }
  }
}

// Guards against less urgent requests that are served better than more urgent
// ones of the same goals, and against hosts that swing between two states as
// they all act on the same old reports.
BOOST_AUTO_TEST_CASE(order_and_load_hold_in_the_replay)
{
  for (double rate : { 100.0, 300.0, 1000.0 }) {
    replay::Options options;
    options.mRate = rate;
    options.mDurationMs = DurationMs(options.mRate);
    options.mHasSameGoals = true;
    replay::Outcome outcome = Run(options);
    BOOST_TEST_CONTEXT("rate " << rate)
    {
      BOOST_TEST(outcome.mInTime[0] >= outcome.mInTime[1] - 0.03);
      BOOST_TEST(outcome.mInTime[1] >= outcome.mInTime[2] - 0.03);
      BOOST_TEST(outcome.mLoadSwing < 0.25);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
