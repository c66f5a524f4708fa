#include "savory/core/version_shift.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace savory;

namespace {

constexpr TimeMs kDurationMs = 24000;

// A shift of the service "llm" from v1 to v2, ordered at time 0.
struct ShiftFixture
{
  VersionShifts mShifts;
  std::int64_t mRevision = 10;

  ShiftFixture()
  {
    ApplyOrder(mShifts, { "llm", "v2", kDurationMs, { 0, 10 } }, 0);
  }

  VersionShift& Shift() { return mShifts.mShifts.at("llm"); }

  // Applies the next progress, as the host that advances the shift does.
  std::optional<ShiftProgress> Advance(TimeMs aNowMs)
  {
    auto next = AdvanceShift(Shift(), aNowMs);
    if (next) {
      ApplyProgress(mShifts, "llm", *next, { 0, ++mRevision }, aNowMs);
    }
    return next;
  }

  void AddAnswers(int aCount, bool aGood)
  {
    for (int i = 0; i < aCount; ++i) {
      OnTargetAnswer(Shift(),
                     aGood ? AnswerResult::Good : AnswerResult::Failed);
    }
  }
};

RunnerState
MakeRunner(const std::string& aVersion)
{
  RunnerState runner;
  runner.mRegistration.mService = "llm";
  runner.mRegistration.mVersion = aVersion;
  return runner;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_shift)

// Guards against a good target that is not completed within the order's
// duration, and against one that takes over while sessions must keep the
// baseline.
BOOST_AUTO_TEST_CASE(good_version_takes_over_in_the_second_half)
{
  ShiftFixture fixture;
  BOOST_REQUIRE(fixture.Advance(0));
  TimeMs full = 0;
  TimeMs completed = 0;
  for (TimeMs now = 100; now <= kDurationMs && !completed; now += 100) {
    fixture.AddAnswers(1, true);
    auto next = fixture.Advance(now);
    if (next && next->mShare > 0) {
      BOOST_TEST(now >= kDurationMs / 2);
    }
    if (next && next->mShare == 1 && !full) {
      full = now;
    }
    if (next && next->mState == ShiftState::Completed) {
      completed = now;
    }
  }
  BOOST_TEST(full > 0);
  BOOST_TEST(completed > full);
}

// Guards against a shift that never completes because few requests arrive.
BOOST_AUTO_TEST_CASE(shift_completes_in_time_with_few_requests)
{
  ShiftFixture fixture;
  bool completed = false;
  for (TimeMs now = 0; now < kDurationMs && !completed; now += 100) {
    auto next = fixture.Advance(now);
    completed = next && next->mState == ShiftState::Completed;
  }
  BOOST_TEST(completed);
}

// Guards against backend servers of the baseline that are stopped while
// requests are in flight there.
BOOST_AUTO_TEST_CASE(completion_waits_for_requests_at_the_baseline)
{
  ShiftFixture fixture;
  ShiftCounts counts;
  counts.mBaselineInFlight = 1;
  MergePeerCounts(fixture.Shift(), "peer", counts);
  for (TimeMs now = 0; now < 19200; now += 100) {
    fixture.AddAnswers(1, true);
    auto next = fixture.Advance(now);
    BOOST_TEST((!next || next->mState == ShiftState::InProgress));
  }
  MergePeerCounts(fixture.Shift(), "peer", {});
  auto next = fixture.Advance(19200);
  BOOST_REQUIRE(next);
  BOOST_TEST((next->mState == ShiftState::Completed));
}

// Guards against exposure to a target half of whose answers fail: it must be
// rejected within a dozen answers.
BOOST_AUTO_TEST_CASE(bad_version_is_rolled_back_early)
{
  ShiftFixture fixture;
  fixture.Advance(0);
  int answers = 0;
  while (!fixture.Shift().mTargetRejected && answers < 100) {
    fixture.AddAnswers(1, answers++ % 2 == 0);
  }
  BOOST_TEST(answers <= 12);
  auto next = fixture.Advance(1000);
  BOOST_REQUIRE(next);
  BOOST_TEST((next->mState == ShiftState::RolledBack));
  BOOST_TEST(!AllowsVersion(fixture.mShifts, MakeRunner("v2"), 0, true, 2000));
  BOOST_TEST(AllowsVersion(fixture.mShifts, MakeRunner("v1"), 0, false, 2000));
}

// Guards against a target that fails only after a while, when earlier good
// answers would outweigh the failures.
BOOST_AUTO_TEST_CASE(version_that_turns_bad_late_is_rolled_back)
{
  ShiftFixture fixture;
  fixture.Advance(0);
  fixture.AddAnswers(1000, true);
  int answers = 0;
  while (!fixture.Shift().mTargetRejected && answers < 100) {
    fixture.AddAnswers(1, answers++ % 2 == 0);
  }
  BOOST_TEST(answers <= 12);
}

// Guards against a service with many failures at any version, where every
// target would be rejected.
BOOST_AUTO_TEST_CASE(failures_at_the_rate_of_the_baseline_are_accepted)
{
  ShiftFixture fixture;
  for (int i = 0; i < 400; ++i) {
    OnBaselineAnswer(fixture.Shift(),
                     i % 7 ? AnswerResult::Good : AnswerResult::Failed);
  }
  for (int i = 0; i < 400; ++i) {
    fixture.AddAnswers(1, i % 7 != 0);
  }
  BOOST_TEST(!fixture.Shift().mTargetRejected);
}

// Guards against a rollback of a good target: when it had taken all traffic its
// runners were busy for a second, and 12 of 40 answers were slow. A target that
// is permanently slow must still be detected.
BOOST_AUTO_TEST_CASE(short_slowdown_is_accepted_but_lasting_slowness_is_not)
{
  ShiftFixture fixture;
  for (int i = 0; i < 300; ++i) {
    OnTargetAnswer(fixture.Shift(), AnswerResult::Good);
  }
  for (int i = 0; i < 40; ++i) {
    OnTargetAnswer(fixture.Shift(),
                   i % 10 < 3 ? AnswerResult::Slow : AnswerResult::Good);
  }
  fixture.AddAnswers(100, true);
  BOOST_TEST(!fixture.Shift().mTargetRejected);
  int answers = 0;
  while (!fixture.Shift().mTargetRejected && answers < 100) {
    OnTargetAnswer(fixture.Shift(),
                   ++answers % 2 ? AnswerResult::Slow : AnswerResult::Good);
  }
  // The platform expects a rollback after at most fifty bad answers.
  BOOST_TEST(answers <= 50);
}

// Times of answers as multiples of what was expected: a log-normal distribution
// whose median is a little below one, and a version's slowness.
class AnswerTimes
{
public:
  explicit AnswerTimes(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  bool IsDelayed(double aSlowness)
  {
    constexpr double kExpectedMs = 100;
    return kExpectedMs * aSlowness * mRatio(mRandom) >
           static_cast<double>(DelayedAfterMs(kExpectedMs));
  }

private:
  std::mt19937_64 mRandom;
  std::lognormal_distribution<double> mRatio{ std::log(0.85), 0.5 };
};

// The answers of the target until it is rejected, at most aCount, while the
// baseline answers as many and both are slowed down alike.
int
CountUntilRejected(double aSlowness,
                   double aGeneralSlowness,
                   int aCount,
                   std::uint64_t aSeed)
{
  ShiftFixture fixture;
  AnswerTimes times(aSeed);
  fixture.Advance(0);
  for (int i = 0; i < 200; ++i) {
    OnBaselineDelay(fixture.Shift(), times.IsDelayed(aGeneralSlowness));
  }
  int answers = 0;
  while (answers < aCount && !fixture.Shift().mTargetRejected) {
    ++answers;
    OnBaselineDelay(fixture.Shift(), times.IsDelayed(aGeneralSlowness));
    OnTargetDelay(fixture.Shift(),
                  times.IsDelayed(aGeneralSlowness * aSlowness));
  }
  return answers;
}

// Load: 84 prompts a second, of which the target gets a tenth, then three and
// six, for a second each: some eighty answers. Guards against a version that
// answers several times slower and is completed, as most of its answers stay
// within a slack of 600 ms, and against an equal one that is stopped.
BOOST_AUTO_TEST_CASE(several_times_slower_version_is_told_from_an_equal_one)
{
  constexpr int kAnswers = 80;
  constexpr std::uint64_t kShifts = 1000;
  int falseStops = 0;
  int falseStopsWhenAllAreSlow = 0;
  int misses = 0;
  int mostUntilStopped = 0;
  for (std::uint64_t seed = 1; seed <= kShifts; ++seed) {
    falseStops += CountUntilRejected(1, 1, kAnswers, seed) < kAnswers;
    falseStopsWhenAllAreSlow +=
      CountUntilRejected(1, 2, kAnswers, seed) < kAnswers;
    misses += CountUntilRejected(4, 1, kAnswers, seed) >= kAnswers;
    mostUntilStopped =
      std::max(mostUntilStopped, CountUntilRejected(8, 1, kAnswers, seed));
  }
  BOOST_TEST_MESSAGE(
    "of " << kShifts << " shifts: " << falseStops << " equal versions stopped, "
          << falseStopsWhenAllAreSlow << " in a general slowdown, " << misses
          << " four times slower ones missed, at most " << mostUntilStopped
          << " answers of one eight times slower");
  // A version may be stopped wrongly once in a hundred shifts, and must be
  // stopped before its 50th bad answer.
  BOOST_TEST(falseStops <= 10);
  BOOST_TEST(falseStopsWhenAllAreSlow <= 10);
  BOOST_TEST(misses <= 10);
  BOOST_TEST(mostUntilStopped < 50);
}

// Guards against stages that go on by the clock while the evidence grows.
BOOST_AUTO_TEST_CASE(doubtful_version_stays_at_its_stage)
{
  ShiftFixture fixture;
  TimeMs now = 0;
  while (!fixture.Shift().mProgress || fixture.Shift().mProgress->mShare == 0) {
    fixture.Advance(now += 100);
  }
  double share = fixture.Shift().mProgress->mShare;
  for (int i = 0; i < 5; ++i) {
    OnTargetDelay(fixture.Shift(), true);
  }
  for (; now < kDurationMs; now += 100) {
    fixture.Advance(now);
  }
  BOOST_TEST(!fixture.Shift().mTargetRejected);
  BOOST_TEST(fixture.Shift().mProgress->mShare == share);
}

// Guards against a good version that is stopped when it has taken all traffic:
// its caches are cold, and no baseline is left to compare with.
BOOST_AUTO_TEST_CASE(delays_count_only_while_both_versions_serve)
{
  ShiftFixture fixture;
  BOOST_TEST(!ComparesDelays(fixture.Shift()));
  bool compared = false;
  for (TimeMs now = 0; now < kDurationMs; now += 100) {
    fixture.AddAnswers(20, true);
    fixture.Advance(now);
    bool isOnly = fixture.Shift().mProgress->mShare == 1;
    BOOST_TEST(ComparesDelays(fixture.Shift()) == !isOnly);
    compared |= ComparesDelays(fixture.Shift());
  }
  BOOST_TEST(compared);
  BOOST_TEST((fixture.Shift().mProgress->mState == ShiftState::Completed));
}

// Guards against sessions that change to the target in the first half of the
// order's duration. Requests of a session arrive at different hosts; with 30
// hosts, four sessions continued at the target.
BOOST_AUTO_TEST_CASE(no_session_uses_the_target_in_the_first_half)
{
  ShiftFixture fixture;
  for (TimeMs now = 0; now < kDurationMs / 2; now += 100) {
    fixture.Advance(now);
    for (double point : { 0.0, 0.001, 0.5 }) {
      BOOST_TEST(
        !AllowsVersion(fixture.mShifts, MakeRunner("v2"), point, false, now));
    }
  }
}

// Guards against a share that grows faster than the target's caches fill: it
// once went from 4% to all traffic within 0.6 s, and the empty caches made
// every answer late. Each step must last some time, however many answers
// arrive.
BOOST_AUTO_TEST_CASE(share_grows_in_steps)
{
  ShiftFixture fixture;
  double share = 0;
  TimeMs changed = 0;
  for (TimeMs now = 0; now <= kDurationMs; now += 50) {
    fixture.AddAnswers(20, true);
    auto next = fixture.Advance(now);
    if (next && next->mShare > share) {
      BOOST_TEST(next->mShare - share <= 0.4 + 1e-9);
      BOOST_TEST((share == 0 || now - changed >= 0.03 * kDurationMs));
      share = next->mShare;
      changed = now;
    }
  }
  BOOST_TEST(share == 1);
}

// Guards against a host that rejects the target after completion: no other
// version was left, and the host refused a tenth of all requests.
BOOST_AUTO_TEST_CASE(completed_version_is_not_rejected)
{
  ShiftFixture fixture;
  ApplyProgress(fixture.mShifts,
                "llm",
                { "v2", ShiftState::Completed, 1, { 0, 10 }, 0 },
                { 0, 20 },
                20000);
  fixture.AddAnswers(50, false);
  BOOST_TEST(!fixture.Shift().mTargetRejected);
  BOOST_TEST(
    AllowsVersion(fixture.mShifts, MakeRunner("v2"), 0.9, false, 30000));
}

// Guards against orders and progress that arrive twice or out of order.
BOOST_AUTO_TEST_CASE(older_progress_and_repeated_orders_change_nothing)
{
  ShiftFixture fixture;
  fixture.Advance(0);
  ApplyOrder(fixture.mShifts, { "llm", "v2", kDurationMs, { 0, 10 } }, 500);
  BOOST_TEST(fixture.Shift().mProgress.has_value());
  ApplyProgress(fixture.mShifts,
                "llm",
                { "v2", ShiftState::RolledBack, 0, { 0, 10 }, 0 },
                { 0, 5 },
                600);
  BOOST_TEST((fixture.Shift().mProgress->mState == ShiftState::InProgress));
}

// Guards against an order whose time restarts: the host that advanced the shift
// was killed, and its successor gave the order its whole duration once more.
BOOST_AUTO_TEST_CASE(age_of_an_order_survives_a_host_failure)
{
  ShiftFixture first;
  first.Advance(0);
  ShiftFixture second;
  ApplyProgress(
    second.mShifts, "llm", *first.Shift().mProgress, { 0, 11 }, 18000);
  second.Shift().mOrderSeenMs = 18000;
  ApplyOrderAge(second.Shift(), 18000, 18000);
  bool completed = false;
  for (TimeMs now = 18000; now < kDurationMs && !completed; now += 100) {
    second.AddAnswers(1, true);
    auto next = second.Advance(now);
    completed = next && next->mState == ShiftState::Completed;
  }
  BOOST_TEST(completed);
  // A peer cannot make an order older than its duration.
  ApplyOrderAge(second.Shift(), 1000000, 24000);
  BOOST_TEST(second.Shift().mOrderSeenMs >= 0);
}

// Guards against a session that changes its version at the start of a shift.
BOOST_AUTO_TEST_CASE(session_keeps_its_version)
{
  ShiftFixture fixture;
  SessionTable sessions;
  OnSessionRequest(sessions, "llm", "s1", "v1", 5000, 0);
  OnSessionRequest(sessions, "llm", "s2", "v2", 5000, 0);
  auto pinned = [&](const char* aSession, TimeMs aNowMs) {
    return PinnedVersion(
      fixture.mShifts, sessions, "llm", aSession, 5000, aNowMs);
  };
  BOOST_TEST(pinned("s1", 1000).value_or("") == "v1");
  BOOST_TEST(pinned("s2", 1000).value_or("") == "v2");
  BOOST_TEST(!pinned("s1", 6000));
  OnSessionRequest(sessions, "llm", "s1", "v1", 5000, 13000);
  BOOST_TEST(!pinned("s1", 13500));
  fixture.Shift().mTargetRejected = true;
  OnSessionRequest(sessions, "llm", "s2", "v2", 5000, 13000);
  BOOST_TEST(!pinned("s2", 13500));
}

// Guards against requests to a version whose order has not arrived yet.
BOOST_AUTO_TEST_CASE(unknown_version_waits_for_its_order)
{
  VersionShifts shifts;
  shifts.mStableVersions["llm"] = { "v1" };
  RunnerState runner = MakeRunner("v2");
  runner.mFirstSeenMs = 1000;
  BOOST_TEST(!AllowsVersion(shifts, runner, 0, false, 2000));
  BOOST_TEST(AllowsVersion(shifts, runner, 0, false, 9000));
}

// Guards against a shift that starts anew, or goes back a stage, as the store
// was restored and has lost its progress.
BOOST_AUTO_TEST_CASE(lost_progress_is_written_again)
{
  ShiftFixture fixture;
  VersionShift& shift = fixture.Shift();
  ShiftProgress early{ "v2", ShiftState::InProgress, 0.1, { 0, 10 }, 0 };
  ShiftProgress late = early;
  late.mShare = 0.6;
  ApplyProgress(fixture.mShifts, "llm", late, { 0, 30 }, 1000);
  OnProgressRestored(shift, early, { 1, 20 });
  auto next = AdvanceShift(shift, 1001);
  BOOST_REQUIRE(next);
  BOOST_TEST(next->mShare == 0.6);
  BOOST_TEST((shift.mProgressRevision == StoreRevision{ 1, 20 }));
  // Another host, which knew less, was first.
  early.mShare = 0.3;
  ApplyProgress(fixture.mShifts, "llm", early, { 1, 21 }, 1002);
  BOOST_TEST(shift.mProgress->mShare == 0.6);
  BOOST_TEST((shift.mProgressRevision == StoreRevision{ 1, 21 }));
  BOOST_TEST(AdvanceShift(shift, 1003)->mShare == 0.6);
  ApplyProgress(fixture.mShifts, "llm", late, { 1, 22 }, 1004);
  BOOST_TEST(!AdvanceShift(shift, 1005));
  // An answer of the old epoch arrives late.
  late.mShare = 1;
  ApplyProgress(fixture.mShifts, "llm", late, { 0, 90 }, 1006);
  BOOST_TEST(shift.mProgress->mShare == 0.6);
}

// Guards against a version that was rolled back and gets requests again when
// the operator's order is back, with or without the stored progress.
BOOST_AUTO_TEST_CASE(rollback_survives_a_restore)
{
  for (bool isOrderLost : { false, true }) {
    ShiftFixture fixture;
    VersionShift& shift = fixture.Shift();
    ShiftProgress progress{ "v2", ShiftState::RolledBack, 0, { 0, 10 }, 0 };
    ApplyProgress(fixture.mShifts, "llm", progress, { 0, 30 }, 1000);
    OnProgressRestored(shift, std::nullopt, { 1, 0 });
    ShiftOrder order{ "llm", "v2", kDurationMs, { 1, isOrderLost ? 17 : 10 } };
    ApplyOrder(fixture.mShifts, order, 2000);
    BOOST_TEST(
      !AllowsVersion(fixture.mShifts, MakeRunner("v2"), 0, true, 2000));
    auto next = AdvanceShift(shift, 2000);
    BOOST_REQUIRE(next);
    BOOST_TEST((next->mState == ShiftState::RolledBack));
    BOOST_TEST((next->mOrderRevision == order.mRevision));
    ApplyProgress(fixture.mShifts, "llm", *next, { 1, 18 }, 2001);
    BOOST_TEST(!AdvanceShift(shift, 2002));
    // A later order of the same epoch is a new one.
    order.mRevision.mRevision = 40;
    ApplyOrder(fixture.mShifts, order, 3000);
    BOOST_TEST(!shift.mProgress);
  }
}

// Guards against a host that starts after a restore and begins a completed
// shift anew, as the progress names the order by its revision in the old epoch.
BOOST_AUTO_TEST_CASE(progress_is_found_by_the_old_revision_of_its_order)
{
  VersionShifts shifts;
  ApplyProgress(shifts,
                "llm",
                { "v2", ShiftState::Completed, 1, { 0, 10 }, 0 },
                { 1, 12 },
                0);
  ApplyOrder(shifts, { "llm", "v2", kDurationMs, { 1, 10 } }, 0);
  BOOST_REQUIRE(shifts.mShifts["llm"].mProgress);
  BOOST_TEST(!IsActive(shifts.mShifts["llm"]));
  auto next = AdvanceShift(shifts.mShifts["llm"], 1);
  BOOST_REQUIRE(next);
  BOOST_TEST((next->mOrderRevision == StoreRevision{ 1, 10 }));
}

BOOST_AUTO_TEST_SUITE_END()
