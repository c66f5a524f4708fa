#include "runner_fixture.h"
#include "savory/core/beacon.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace savory;

namespace {

// Each host sends its prefill reports to all others.
void
ExchangeReports(std::vector<RunnerFixture>& aHosts, TimeMs aNowMs)
{
  for (RunnerFixture& sender : aHosts) {
    PeerMessage message;
    BeaconCursor cursor;
    AddPrefillReports(message, sender.mSet, cursor);
    for (RunnerFixture& receiver : aHosts) {
      if (&receiver == &sender) {
        continue;
      }
      for (const auto& [id, report] : message.mPrefills) {
        MergePeerPrefill(receiver.mSet.mRunners.at(id),
                         report.mPrefillMs,
                         report.mPartKeys,
                         aNowMs);
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(runners)

// Guards against a service that is paced by the report of another one, or for
// ever.
BOOST_FIXTURE_TEST_CASE(a_service_is_paced_while_its_runners_state_a_slowdown,
                        RunnerFixture)
{
  RunnerState& runner = Add(MakeRegistration("r1"));
  BOOST_TEST(!IsPaced(mSet, "llm", 0));
  OnSlowdownReport(mSet, runner, 2.5, 1000);
  BOOST_TEST(runner.mSlowdown == 2.5);
  BOOST_TEST(IsPaced(mSet, "llm", 30999));
  BOOST_TEST(!IsPaced(mSet, "desk", 1000));
  BOOST_TEST(!IsPaced(mSet, "llm", 31000));
}

// Guards against new requests for a runner that is draining, removed, in an
// evacuated zone, already tried, blocked after a connection failure or of a
// version that is not allowed.
BOOST_AUTO_TEST_CASE(ineligible_runners_get_no_requests)
{
  struct Row
  {
    const char* mName;
    std::function<void(RunnerFixture&, PlacementRequest&)> mChange;
    PlacementFailure mFailure;
  };
  const std::vector<Row> rows{
    { "draining",
      [](RunnerFixture& aFixture, PlacementRequest&) {
        Registration registration = MakeRegistration("a");
        registration.mDraining = true;
        aFixture.Add(registration);
      },
      PlacementFailure::NoRunner },
    { "removed",
      [](RunnerFixture& aFixture, PlacementRequest&) {
        RemoveRegistration(aFixture.mSet, "a", std::nullopt);
      },
      PlacementFailure::NoRunner },
    { "evacuated",
      [](RunnerFixture& aFixture, PlacementRequest&) {
        aFixture.mSet.mEvacuatedZones.insert("z1");
      },
      PlacementFailure::NoRunner },
    { "other version",
      [](RunnerFixture&, PlacementRequest& aRequest) {
        aRequest.mAllowsRunner = [](const RunnerState&) { return false; };
      },
      PlacementFailure::NoRunner },
    { "tried",
      [](RunnerFixture&, PlacementRequest& aRequest) {
        aRequest.mTriedRunners = { "a" };
      },
      PlacementFailure::AllTried },
    { "blocked",
      [](RunnerFixture& aFixture, PlacementRequest&) {
        OnRequestOutcome(
          aFixture.mSet.mRunners.at("a"), RunnerOutcome::Unreachable, 0);
      },
      PlacementFailure::AllBlocked },
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      RunnerFixture fixture;
      fixture.Add(MakeRegistration("a"));
      PlacementRequest request = MakeRequest(1);
      BOOST_TEST(fixture.Place(request).has_value());
      row.mChange(fixture, request);
      auto placement = fixture.Place(request);
      BOOST_REQUIRE(!placement);
      BOOST_TEST((placement.error() == row.mFailure));
    }
  }
}

// Guards against a cold runner that receives more than its allowance from all
// hosts together.
BOOST_AUTO_TEST_CASE(cold_allowance_is_shared_by_all_hosts)
{
  for (int hosts : { 1, 5, 30 }) {
    RunnerFixture fixture;
    fixture.mSet.mEntryHosts = hosts;
    Registration registration = MakeRegistration("a");
    registration.mColdRemainingMs = 100000;
    RunnerState& runner = fixture.Add(registration);
    int sent = 0;
    for (TimeMs now = 0; now < 60000; now += 10) {
      if (fixture.Place(MakeRequest(1), now)) {
        OnRequestSent(runner, MakeRequest(1), 0, 1, now);
        ++sent;
      }
    }
    BOOST_TEST(sent * hosts <= 5 * 60 + hosts);
    BOOST_TEST(sent >= 5 * 60 / hosts - 1);
  }
}

// Guards against a burst at a cold runner: all hosts learn of it at the same
// time, and each used to send it a request within the same second.
BOOST_AUTO_TEST_CASE(hosts_stagger_requests_to_a_cold_runner)
{
  std::vector<TimeMs> sends;
  for (int host = 0; host < 30; ++host) {
    RunnerFixture fixture;
    fixture.mSet.mEntryHosts = 30;
    fixture.mSet.mHost = "host-" + std::to_string(host);
    Registration registration = MakeRegistration("a");
    registration.mColdRemainingMs = 20000;
    RunnerState& runner = fixture.Add(registration, 1000);
    for (TimeMs now = 1000; now < 15000; now += 10) {
      if (fixture.Place(MakeRequest(1), now)) {
        OnRequestSent(runner, MakeRequest(1), 0, 1, now);
        sends.push_back(now);
      }
    }
  }
  // In any second, at most one and a half times the allowance plus five.
  for (TimeMs start : sends) {
    auto count =
      std::count_if(sends.begin(), sends.end(), [start](TimeMs aTime) {
        return aTime >= start && aTime < start + 1000;
      });
    BOOST_TEST(count <= 12);
  }
}

// Guards against state of an earlier process under the same id, and against an
// older registration that arrives late.
BOOST_AUTO_TEST_CASE(restarted_runner_starts_with_fresh_state)
{
  RunnerFixture fixture;
  RunnerState& runner = fixture.Add(MakeRegistration("a"));
  OnRequestOutcome(runner, RunnerOutcome::Unreachable, 0);
  OnRequestSent(runner, MakeRequest(1), 0, 1, 0);
  Registration restarted = MakeRegistration("a");
  restarted.mStartedWallMs = 2000;
  fixture.Add(restarted);
  BOOST_TEST(runner.mBlockedUntilMs == 0);
  BOOST_TEST(runner.mCache.mParts.empty());
  BOOST_TEST(
    !ApplyRegistration(fixture.mSet, MakeRegistration("a"), { 0, 1 }, 10));
  BOOST_TEST(runner.mRegistration.mStartedWallMs == 2000);
}

// Guards against a registration that is ignored because a restored store gives
// out lower revisions.
BOOST_AUTO_TEST_CASE(registration_of_a_newer_epoch_is_newer)
{
  RunnerFixture fixture;
  Registration registration = MakeRegistration("a");
  ApplyRegistration(fixture.mSet, registration, { 1, 500 }, 0);
  registration.mDraining = true;
  BOOST_TEST(ApplyRegistration(fixture.mSet, registration, { 2, 20 }, 10));
  registration.mDraining = false;
  BOOST_TEST(!ApplyRegistration(fixture.mSet, registration, { 1, 501 }, 20));
  BOOST_TEST(fixture.mSet.mRunners.at("a").mRegistration.mDraining);
}

// Guards against runners that are removed because the store lost their
// registrations in an outage, and against runners that are kept although they
// did not register again.
BOOST_AUTO_TEST_CASE(lost_registrations_have_a_grace_period)
{
  RunnerFixture fixture;
  fixture.Add(MakeRegistration("back"));
  fixture.Add(MakeRegistration("lost"));
  RemoveRegistration(fixture.mSet, "back", 2500);
  RemoveRegistration(fixture.mSet, "lost", 2500);
  BOOST_TEST(PruneRunners(fixture.mSet, 2400).empty());
  BOOST_TEST(fixture.Place(MakeRequest(1), 2400).has_value());
  fixture.Add(MakeRegistration("back"), 2450);
  auto removed = PruneRunners(fixture.mSet, 2500);
  BOOST_REQUIRE_EQUAL(removed.size(), 1U);
  BOOST_TEST(removed[0] == "lost");
}

// Guards against a prefill of the same shared part at many runners: hosts that
// have not exchanged any message must choose the same runner for a part, and
// different parts must spread over the runners.
BOOST_AUTO_TEST_CASE(hosts_agree_on_the_runner_of_shared_parts)
{
  std::vector<RunnerFixture> hosts(5);
  for (RunnerFixture& host : hosts) {
    for (int i = 0; i < 12; ++i) {
      host.Add(MakeRegistration("runner-" + std::to_string(i)));
    }
  }
  std::set<std::string> chosen;
  for (std::uint64_t part = 0; part < 50; ++part) {
    std::set<std::string> used;
    for (RunnerFixture& host : hosts) {
      used.insert(host.Place(MakeRequest(part))->mRunner);
    }
    BOOST_TEST(used.size() == 1U);
    chosen.insert(*used.begin());
  }
  BOOST_TEST(chosen.size() >= 10U);
}

// Guards against two hosts that queue long prompts with the same part at one
// runner. A host must count the peer's prefill and choose another runner once
// waiting costs more than recomputing the part.
BOOST_AUTO_TEST_CASE(prefill_of_peers_moves_requests_elsewhere)
{
  RunnerFixture fixture;
  fixture.Add(MakeRegistration("a"));
  fixture.Add(MakeRegistration("b"));
  std::string first = fixture.Place(MakeRequest(1))->mRunner;
  RunnerState& runner = fixture.mSet.mRunners.at(first);
  MergePeerPrefill(runner, 2000, {}, 0);
  BOOST_TEST(fixture.Place(MakeRequest(1))->mRunner != first);
  // After that time the peer's prefill is done.
  BOOST_TEST(fixture.Place(MakeRequest(1), 2100)->mRunner == first);
}

// Guards against short prompts that wait behind long ones at an engine.
BOOST_AUTO_TEST_CASE(short_prompts_have_the_higher_priority)
{
  BOOST_TEST(PrefillPriority(10) == 0);
  BOOST_TEST(PrefillPriority(100) < PrefillPriority(500));
  BOOST_TEST(PrefillPriority(500) < PrefillPriority(1000));
  BOOST_TEST(PrefillPriority(100000) <= 9);
}

// Guards against a runner that fails many requests while its health check
// passes: its requests must go to a runner in another zone, and return later.
BOOST_AUTO_TEST_CASE(failing_runner_is_avoided_for_a_while)
{
  RunnerFixture fixture;
  RunnerState& near = fixture.Add(MakeRegistration("near", "z1"));
  fixture.Add(MakeRegistration("far", "z2"));
  PlacementRequest request;
  request.mFixedMs = 60;
  request.mZone = "z1";
  BOOST_TEST(fixture.Place(request)->mRunner == "near");
  OnRequestOutcome(near, RunnerOutcome::Failure, 0);
  OnRequestOutcome(near, RunnerOutcome::Failure, 0);
  BOOST_TEST(fixture.Place(request)->mRunner == "far");
  BOOST_TEST(fixture.Place(request, 60000)->mRunner == "near");
}

// Guards against a repeated prefill of shared parts because hosts send them to
// different runners. 25 hosts send prompts that share most of their tokens to
// 46 runners, each shared part about every five seconds, and learn of each
// other's requests 150 ms late. The required cache hit rate is 90% of the parts
// that some runner has cached.
BOOST_AUTO_TEST_CASE(hosts_send_shared_parts_to_the_same_runner)
{
  constexpr int kHosts = 25;
  constexpr int kSharedParts = 200;
  constexpr TimeMs kGossipIntervalMs = 150;
  std::vector<RunnerFixture> hosts(kHosts);
  for (int host = 0; host < kHosts; ++host) {
    for (int runner = 0; runner < 46; ++runner) {
      hosts[static_cast<std::size_t>(host)].Add(MakeRegistration(
        "r" + std::to_string(runner), "z" + std::to_string(runner % 3)));
    }
  }
  std::mt19937 random(20261204);
  std::uniform_int_distribution<int> anyHost(0, kHosts - 1);
  std::uniform_int_distribution<std::uint64_t> anyPart(1, kSharedParts);
  std::map<std::string, std::set<std::uint64_t>> cachedAt;
  std::set<std::uint64_t> sentParts;
  int recomputed = 0;
  int shared = 0;
  for (TimeMs now = 0; now < 30000; now += 25) {
    RunnerFixture& host = hosts[static_cast<std::size_t>(anyHost(random))];
    PlacementRequest request = MakeRequest(anyPart(random), 13300);
    request.mZone = "z" + std::to_string((&host - hosts.data()) % 3);
    request.mBodyBytes = 17000;
    // The prefill of small models is fast, so its time alone favours a runner
    // with the part cached only slightly.
    request.mMsPerToken = 0.006;
    auto placement = host.Place(request, now);
    BOOST_REQUIRE(placement);
    OnRequestSent(host.mSet.mRunners.at(placement->mRunner),
                  request,
                  placement->mPrefillMs,
                  static_cast<std::uint64_t>(now) + 1,
                  now);
    OnPrefillDone(host.mSet.mRunners.at(placement->mRunner).mPrefillQueue,
                  static_cast<std::uint64_t>(now) + 1,
                  now);
    std::uint64_t part = request.mSharedParts.front().mId;
    shared += sentParts.contains(part);
    recomputed +=
      sentParts.contains(part) && !cachedAt[placement->mRunner].contains(part);
    sentParts.insert(part);
    cachedAt[placement->mRunner].insert(part);
    if (now % kGossipIntervalMs != 0) {
      continue;
    }
    ExchangeReports(hosts, now);
  }
  BOOST_TEST(shared > 500);
  BOOST_TEST(recomputed <= shared / 10);
}

// Load: 100 hosts send 50 prompts a second with one of four shared parts to 40
// runners, so that each host sends to a runner about once in 80 seconds. Guards
// against hosts that take a runner for idle as a peer's first report about it
// does not count: the runners that had read the parts had queues of 8 s while
// the others were idle. A prompt must start within the 3 s that its caller
// expects; the mean load is a quarter.
BOOST_AUTO_TEST_CASE(prompts_of_many_hosts_spread_over_the_runners)
{
  constexpr int kHosts = 100;
  constexpr int kRunners = 40;
  constexpr TimeMs kGossipIntervalMs = 300;
  constexpr double kLatencyGoalMs = 3000;
  std::vector<RunnerFixture> hosts(kHosts);
  for (RunnerFixture& host : hosts) {
    for (int runner = 0; runner < kRunners; ++runner) {
      host.Add(MakeRegistration("r" + std::to_string(runner),
                                "z" + std::to_string(runner % 5)));
    }
  }
  std::mt19937 random(20261204);
  std::uniform_int_distribution<std::size_t> anyHost(0, kHosts - 1);
  std::uniform_int_distribution<std::uint64_t> anyPart(1, 4);
  // When each runner has read all prompts that it received.
  std::map<std::string, double> busyUntilMs;
  double longestWaitMs = 0;
  for (TimeMs now = 0; now < 20000; now += 20) {
    std::size_t index = anyHost(random);
    RunnerFixture& host = hosts[index];
    PlacementRequest request = MakeRequest(anyPart(random), 2500);
    request.mUnsharedTokens = 3000;
    request.mMsPerToken = 0.06;
    request.mZone = "z" + std::to_string(index % 5);
    auto placement = host.Place(request, now);
    BOOST_REQUIRE(placement);
    OnRequestSent(host.mSet.mRunners.at(placement->mRunner),
                  request,
                  placement->mPrefillMs,
                  static_cast<std::uint64_t>(now) + 1,
                  now);
    double& busy = busyUntilMs[placement->mRunner];
    busy = std::max(busy, static_cast<double>(now));
    longestWaitMs = std::max(longestWaitMs, busy - static_cast<double>(now));
    busy += placement->mPrefillMs;
    if (now % kGossipIntervalMs != 0) {
      continue;
    }
    ExchangeReports(hosts, now);
  }
  BOOST_TEST(longestWaitMs < kLatencyGoalMs);
}

// Guards against a runner that said that it leaves and gets requests all the
// same: the store still calls it ready, its registration was removed and
// repeated, or a late report of the old process arrives. Only a new process
// ends the notice.
BOOST_AUTO_TEST_CASE(runner_that_says_it_leaves_gets_no_requests)
{
  RunnerFixture fixture;
  fixture.Add(MakeRegistration("a"));
  BOOST_TEST(fixture.Place({}).has_value());
  BOOST_TEST(OnDrainNotice(fixture.mSet, { "a", 1000 }, 10));
  BOOST_TEST(!OnDrainNotice(fixture.mSet, { "a", 1000 }, 20));
  auto isRefused = [&] {
    auto placement = fixture.Place({});
    return !placement && placement.error() == PlacementFailure::NoRunner;
  };
  BOOST_TEST(isRefused());
  fixture.Add(MakeRegistration("a"));
  BOOST_TEST(isRefused());
  RemoveRegistration(fixture.mSet, "a", std::nullopt);
  PruneRunners(fixture.mSet, 30);
  BOOST_TEST(fixture.mSet.mRunners.empty());
  fixture.Add(MakeRegistration("a"));
  BOOST_TEST(isRefused());

  Registration next = MakeRegistration("a");
  next.mStartedWallMs = 2000;
  fixture.Add(next);
  BOOST_TEST(fixture.Place({}).has_value());
  // A notice of the old process that was on its way says nothing of the new.
  OnDrainNotice(fixture.mSet, { "a", 1000 }, 40);
  BOOST_TEST(fixture.Place({}).has_value());
  // A late report of the old process.
  fixture.Add(MakeRegistration("a"));
  BOOST_TEST(isRefused());
  fixture.Add(next);
  BOOST_TEST(fixture.Place({}).has_value());
  BOOST_TEST(CountRunnerHints(fixture.mSet, 50).mLeaving == 0);
}

// Guards against a runner without a stated start that is shut out for good
// after it has left once and started again.
BOOST_AUTO_TEST_CASE(notice_without_a_start_time_ends_with_the_registration)
{
  RunnerFixture fixture;
  Registration registration = MakeRegistration("a");
  registration.mStartedWallMs = 0;
  fixture.Add(registration);
  OnDrainNotice(fixture.mSet, { "a", 0 }, 10);
  fixture.Add(registration);
  BOOST_TEST(!fixture.Place({}).has_value());
  RemoveRegistration(fixture.mSet, "a", std::nullopt);
  PruneRunners(fixture.mSet, 20);
  fixture.Add(registration);
  BOOST_TEST(fixture.Place({}).has_value());
}

// Guards against a request that waits for its deadline although all runners
// have stated when they want work again, and against a wrong time to return.
BOOST_AUTO_TEST_CASE(earliest_return_of_runners_that_turned_requests_away)
{
  RunnerFixture fixture;
  fixture.mSet.mHost = "h";
  PlacementRequest request;
  request.mService = "llm";
  BOOST_TEST(!EarliestReturnMs(fixture.mSet, request, 0));
  TimeMs first = std::numeric_limits<TimeMs>::max();
  for (const char* id : { "a", "b" }) {
    RunnerState& runner = fixture.Add(MakeRegistration(id));
    OnBackpressureHint(
      runner.mBackpressure, id[0] == 'a' ? 3000 : 4000, "h", id, 0);
    first = std::min(first, runner.mBackpressure.mReturnMs);
  }
  auto placement = fixture.Place({}, 100);
  BOOST_REQUIRE(!placement);
  BOOST_TEST((placement.error() == PlacementFailure::AllBackedOff));
  BOOST_TEST(EarliestReturnMs(fixture.mSet, request, 100).value_or(0) == first);
  BOOST_TEST(CountRunnerHints(fixture.mSet, 100).mBackedOff == 2);
  // The first that returns takes one request, then more.
  BOOST_TEST(fixture.Place({}, first).has_value());
  fixture.mSet.mRunners.at("a").mInFlight = 1;
  BOOST_TEST(!fixture.Place({}, first).has_value());
  BOOST_TEST(fixture.Place({}, first + 250).has_value());
  // A new process of the server knows nothing of the hint.
  Registration next = MakeRegistration("b");
  next.mStartedWallMs = 2000;
  fixture.Add(next, 200);
  BOOST_TEST(fixture.Place({}, 200).has_value());
}

// The store may execute a write whose answer was lost seconds later.
BOOST_AUTO_TEST_CASE(late_report_does_not_undo_a_drain_or_a_removal)
{
  RunnerFixture fixture;
  auto report = [&fixture](std::int64_t aSequence, bool aIsDraining) {
    Registration registration = MakeRegistration("a");
    registration.mSequence = aSequence;
    registration.mDraining = aIsDraining;
    fixture.Add(registration);
    return fixture.Place({}).has_value();
  };
  BOOST_TEST(report(4, false));
  BOOST_TEST(!report(6, true));
  BOOST_TEST(!report(5, false));
  RemoveRegistration(fixture.mSet, "a", std::nullopt);
  PruneRunners(fixture.mSet, 1000);
  BOOST_TEST(fixture.mSet.mRunners.empty());
  ApplyRegistration(fixture.mSet, MakeRegistration("a"), { 0, 90 }, 2000);
  BOOST_TEST(fixture.mSet.mRunners.empty());
  // The process reports again, or another one does.
  BOOST_TEST(report(7, false));
  Registration next = MakeRegistration("a");
  next.mStartedWallMs = 2000;
  fixture.Add(next);
  BOOST_TEST(fixture.Place({}).has_value());
  // Memory of what has left is bounded.
  RemoveRegistration(fixture.mSet, "a", std::nullopt);
  PruneRunners(fixture.mSet, 3000);
  PruneRunners(fixture.mSet, 18000);
  BOOST_TEST(fixture.mSet.mDepartures.empty());
}

// Other writers may state any sequence.
BOOST_AUTO_TEST_CASE(forged_sequence_shuts_a_runner_out_for_seconds_only)
{
  RunnerFixture fixture;
  Registration registration = MakeRegistration("a");
  registration.mSequence = 1'000'000'000'000;
  registration.mDraining = true;
  fixture.Add(registration, 1000);
  registration.mDraining = false;
  registration.mSequence = 7;
  fixture.Add(registration, 2200);
  BOOST_TEST(!fixture.Place({}, 2200).has_value());
  fixture.Add(registration, 16000);
  BOOST_TEST(fixture.Place({}, 16000).has_value());
}

// Other writers may state any sequence.
BOOST_AUTO_TEST_CASE(forged_sequence_does_not_hide_a_drain)
{
  RunnerFixture fixture;
  Registration registration = MakeRegistration("a");
  registration.mSequence = 1'000'000'000'000;
  fixture.Add(registration, 1000);
  BOOST_TEST(fixture.Place({}, 1000).has_value());
  registration.mSequence = 7;
  registration.mDraining = true;
  fixture.Add(registration, 2200);
  BOOST_TEST(!fixture.Place({}, 2200).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
