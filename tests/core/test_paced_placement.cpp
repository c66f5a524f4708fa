#include "runner_fixture.h"
#include "savory/core/runners.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace savory;

namespace {

// The choice for services that are not paced as it was before paced services
// were known, for runners that may all take the request. Returns the runner's
// id and its expected time.
std::pair<std::string, double>
PlaceByEarlierFormula(const RunnerSet& aSet,
                      const PlacementRequest& aRequest,
                      TimeMs aNowMs)
{
  std::uint64_t key =
    aRequest.mSharedParts.empty()
      ? 0
      : PrefixCacheKey(aRequest.mModel, aRequest.mSharedParts.back().mId);
  std::vector<std::uint64_t> ranks;
  for (const auto& [id, runner] : aSet.mRunners) {
    ranks.push_back(RendezvousRank(key, id));
  }
  std::sort(ranks.rbegin(), ranks.rend());
  std::pair<std::string, double> best;
  double bestScore = 0;
  for (const auto& [id, runner] : aSet.mRunners) {
    std::uint64_t rank = RendezvousRank(key, id);
    double weight = rank == ranks[0] ? 0.2 : rank == ranks[1] ? 0.6 : 1.0;
    double uncachedShared = 0;
    for (const PromptPart& part : aRequest.mSharedParts) {
      auto cached =
        runner.mCache.mParts.find(PrefixCacheKey(aRequest.mModel, part.mId));
      bool isCached = cached != runner.mCache.mParts.end() &&
                      aNowMs - cached->second.mUsedMs < 20000;
      uncachedShared += isCached ? 0 : static_cast<double>(part.mTokens);
    }
    double uncached =
      static_cast<double>(aRequest.mUnsharedTokens) + uncachedShared;
    bool reported = aNowMs - runner.mReportedMs < 1000;
    int running =
      std::max(runner.mInFlight, reported ? runner.mReportedRunning : 0);
    int waiting = reported ? runner.mReportedWaiting : 0;
    if (running + waiting >= runner.mRegistration.mSlots &&
        aRequest.mModel.empty()) {
      waiting += running - runner.mRegistration.mSlots + 1;
    }
    double queueMs = EstimateQueueMs(runner.mPrefillQueue, aNowMs) +
                     0.3 * running + aRequest.mFixedMs * waiting;
    double expected =
      (aRequest.mFixedMs + uncached * aRequest.mMsPerToken + queueMs) *
      runner.mLatencyRatio;
    double score = expected + 1500 * ErrorRate(runner, aNowMs);
    score += 0.02 * weight * uncachedShared;
    if (runner.mRegistration.mZone != aRequest.mZone) {
      score += 3.0 + 1.0 * static_cast<double>(aRequest.mBodyBytes) / 1024;
    }
    if (aNowMs < runner.mColdUntilMs) {
      score *= 2;
    }
    if (best.first.empty() || score < bestScore) {
      bestScore = score;
      best = { id, expected };
    }
  }
  return best;
}

} // namespace

BOOST_AUTO_TEST_SUITE(paced_placement)

// Guards against a decision that changes for services whose runners state no
// slowdown, whatever was learned for paced ones.
BOOST_AUTO_TEST_CASE(services_that_are_not_paced_decide_as_before)
{
  std::mt19937 random(20261206);
  auto any = [&random](int aMost) {
    return std::uniform_int_distribution<int>(0, aMost)(random);
  };
  std::set<std::string> chosen;
  for (int table = 0; table < 2000; ++table) {
    RunnerFixture fixture;
    TimeMs now = 100'000;
    for (int index = 0; index < 2 + any(20); ++index) {
      RunnerState& runner = fixture.Add(MakeRegistration(
        "r" + std::to_string(index), "z" + std::to_string(any(2))));
      runner.mInFlight = any(12);
      OnLoadReport(runner, any(12), any(4), now - any(2000));
      runner.mLatencyRatio = 0.25 + 0.01 * any(375);
      runner.mErrorRate = 0.01 * any(20);
      runner.mErrorUpdatedMs = now - any(5000);
      runner.mColdUntilMs = any(9) == 0 ? now + 100 : 0;
      runner.mColdSinceMs = -1'000'000;
      LearnSpeed(runner.mSpeed, { 100, 25.0 + any(400), 1, 1 }, now);
      runner.mCache.mReadMs = any(100'000);
      for (int part = 0; part < any(5); ++part) {
        MergePeerPrefill(runner,
                         any(300),
                         { PrefixCacheKey("m", static_cast<unsigned>(any(4))) },
                         now - any(40'000));
      }
    }
    PlacementRequest request =
      MakeRequest(static_cast<unsigned>(any(4)), any(14'000));
    request.mService = "llm";
    if (any(4) == 0) {
      request.mModel.clear();
      request.mSharedParts.clear();
    }
    request.mBodyBytes = static_cast<std::size_t>(any(50'000));
    request.mOutputTokens = any(500);
    auto placement = fixture.Place(request, now);
    BOOST_REQUIRE(placement);
    auto [runner, expectedMs] =
      PlaceByEarlierFormula(fixture.mSet, request, now);
    BOOST_TEST(placement->mRunner == runner);
    BOOST_TEST(std::abs(placement->mExpectedMs - expectedMs) <= 1e-9);
    BOOST_TEST(placement->mTokenMs == 0);
    chosen.insert(runner);
  }
  BOOST_TEST(chosen.size() > 10U);
}

// Guards against slow spells that move requests of a paced service long after
// they ended, and against a learned speed that is lost while a runner is cold
// or kept when its process is another.
BOOST_FIXTURE_TEST_CASE(paced_services_choose_by_speed, RunnerFixture)
{
  RunnerState& first = Add(MakeRegistration("a"));
  RunnerState& second = Add(MakeRegistration("b"));
  PlacementRequest request = MakeRequest(1);
  request.mSharedParts.clear();
  request.mUnsharedTokens = 4000;
  OnSlowdownReport(mSet, first, 2.5, 1000);
  OnSlowdownReport(mSet, second, 1, 1000);
  BOOST_TEST(Place(request, 1100)->mRunner == "b");
  BOOST_TEST(Place(request, 1100)->mTokenMs > 0);
  OnSlowdownReport(mSet, second, 1.2, 2000);
  BOOST_TEST(Place(request, 2000)->mRunner == "a");
  // The second one takes twice the usual time.
  for (TimeMs now = 3000; now < 8000; now += 1000) {
    Placement placement;
    placement.mExpectedMs = 200;
    placement.mRunner = "b";
    second.mColdUntilMs = now < 4000 ? 4000 : 0;
    BOOST_TEST(OnFirstEvent(second, request, placement, 400, now) ==
               (now >= 4000));
  }
  BOOST_TEST(SpeedFactor(second.mSpeed, 8000) > 1.6);
  BOOST_TEST(Place(request, 8000)->mRunner == "a");
  Registration restarted = MakeRegistration("b");
  restarted.mStartedWallMs = 2000;
  BOOST_TEST(SpeedFactor(Add(restarted).mSpeed, 8000) == 1);
}

// Guards against a runner whose streams are slow and that counts as usual as
// its prompts are short, and against a model's step that follows one runner.
BOOST_FIXTURE_TEST_CASE(streams_tell_the_speed_of_runners, RunnerFixture)
{
  RunnerState& fast = Add(MakeRegistration("a"));
  RunnerState& slow = Add(MakeRegistration("b"));
  OnSlowdownReport(mSet, fast, 1, 1000);
  OnSlowdownReport(mSet, slow, 1, 1000);
  for (TimeMs now = 1000; now < 21'000; now += 1000) {
    OnStreamPaced(mSet, fast, "m", 3.5, 10, now);
    OnStreamPaced(mSet, slow, "m", 8.5, 10, now);
  }
  double ratio =
    SpeedFactor(slow.mSpeed, 21'000) / SpeedFactor(fast.mSpeed, 21'000);
  BOOST_TEST(std::abs(ratio / (8.5 / 3.5) - 1) < 0.15);
  PlacementRequest request = MakeRequest(1);
  request.mSharedParts.clear();
  auto placement = Place(request, 21'000);
  BOOST_TEST(placement->mRunner == "a");
  BOOST_TEST(std::abs(placement->mTokenMs / 3.5 - 1) < 0.2);
  // A cold runner tells nothing.
  fast.mColdUntilMs = 30'000;
  double before = SpeedFactor(fast.mSpeed, 22'000);
  OnStreamPaced(mSet, fast, "m", 50, 10, 22'000);
  BOOST_TEST(SpeedFactor(fast.mSpeed, 22'000) == before);
}

// Guards against statements of slowdowns that are ignored, or trusted beyond
// the spell that they tell of. Eight runners work at 2.5 times the usual time
// for 15% of the time, in spells of 600 ms; a statement of each arrives about
// every 500 ms and is then 100 to 200 ms old. Prompts without shared parts must
// take less time than with any fixed time of trust, and less than 0.7 of the
// loss without the statements.
BOOST_AUTO_TEST_CASE(slowdowns_are_weighed_by_age)
{
  constexpr TimeMs kWeighed = -1;
  auto meanSlowdown = [](TimeMs aTrustMs) {
    RunnerFixture fixture;
    std::mt19937 random(20261206);
    std::uniform_real_distribution<double> uniform(0, 1);
    struct Truth
    {
      double mNow = 1;
      double mBefore = 1;
      TimeMs mChangedMs = 0;
      double mStated = 1;
      TimeMs mStatedMs = 0;
    };
    std::map<std::string, Truth> truths;
    for (int index = 0; index < 8; ++index) {
      std::string id = "r" + std::to_string(index);
      fixture.Add(MakeRegistration(id));
      truths[id].mChangedMs = index * 75;
    }
    PlacementRequest request = MakeRequest(1);
    request.mSharedParts.clear();
    double sum = 0;
    int count = 0;
    for (TimeMs now = 1000; now < 601'000; now += 25) {
      for (auto& [id, truth] : truths) {
        RunnerState& runner = fixture.mSet.mRunners.at(id);
        if (now - truth.mChangedMs >= 600) {
          truth.mChangedMs = now;
          truth.mBefore =
            std::exchange(truth.mNow, uniform(random) < 0.15 ? 2.5 : 1.0);
        }
        if (uniform(random) < 0.05) {
          TimeMs madeMs =
            now - 100 - static_cast<TimeMs>(100 * uniform(random));
          truth.mStated =
            madeMs >= truth.mChangedMs ? truth.mNow : truth.mBefore;
          truth.mStatedMs = now;
          OnSlowdownReport(fixture.mSet, runner, truth.mStated, now);
        }
        if (aTrustMs != kWeighed) {
          bool isTrusted = now - truth.mStatedMs < aTrustMs;
          runner.mSlowdown = isTrusted ? truth.mStated : runner.mMeanSlowdown;
          runner.mSlowdownMs = now;
        }
      }
      if (now % 100 == 0 && IsPaced(fixture.mSet, "llm", now)) {
        sum += truths[fixture.Place(request, now)->mRunner].mNow;
        ++count;
      }
    }
    return sum / count;
  };
  double weighed = meanSlowdown(kWeighed);
  BOOST_TEST_MESSAGE("mean slowdown, weighed by age: " << weighed);
  for (TimeMs trustMs : { 0, 50, 200, 1000 }) {
    double trusted = meanSlowdown(trustMs);
    BOOST_TEST_MESSAGE("trusted for " << trustMs << " ms: " << trusted);
    BOOST_TEST(weighed < trusted);
  }
  BOOST_TEST(weighed - 1 < 0.7 * (meanSlowdown(0) - 1));
}

// Guards against a part that counts as held after an answer took as long as
// reading it does, and against one that is forgotten although a later request
// has read it since.
BOOST_FIXTURE_TEST_CASE(a_miss_removes_parts_from_the_estimate, RunnerFixture)
{
  RunnerState& runner = Add(MakeRegistration("a"));
  OnSlowdownReport(mSet, runner, 1, 1000);
  PlacementRequest request = MakeRequest(1);
  OnRequestSent(runner, request, 505, 1, 1000);
  OnPrefillDone(runner.mPrefillQueue, 1, 1505);
  auto placement = Place(request, 5000);
  BOOST_TEST(placement->mExpectedMs < 50);
  BOOST_TEST(placement->mCachedTokens == 10000);
  BOOST_TEST((placement->mPrefixOption == PrefixOption::WaitAtHolder));
  OnRequestSent(runner, request, placement->mPrefillMs, 2, 5000);
  OnFirstEvent(runner, request, *placement, 30, 5030);
  BOOST_TEST(Place(request, 5600)->mCachedTokens == 10000);
  MergePeerPrefill(runner, 5, { PrefixCacheKey("m", 1) }, 5200);
  OnFirstEvent(runner, request, *placement, 525, 5525);
  BOOST_TEST(Place(request, 5600)->mCachedTokens == 10000);
  OnFirstEvent(runner, request, *placement, 525, 5900);
  BOOST_TEST(Place(request, 5900)->mCachedTokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()
