#include "savory/core/balancer.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace savory;

namespace {

AgentReport
MakeReport(int aNumber, const std::string& aZone, int aAllowance = 16)
{
  AgentReport report;
  report.mSender.mIncarnation = 1;
  report.mPool = "pool";
  report.mZone = aZone;
  report.mAddress = "agent-" + std::to_string(aNumber);
  report.mVersions = { "medium@1" };
  report.mAllowance = aAllowance;
  return report;
}

std::vector<Zone>
MakeZones(ZoneState aA, ZoneState aB, ZoneState aC)
{
  return { { "a", "region", aA },
           { "b", "region", aB },
           { "c", "region", aC } };
}

Balancer
MakeFleet(int aCount, int aAllowance = 16)
{
  Balancer balancer;
  balancer.mLocalZone = "a";
  ApplyZones(
    balancer, MakeZones(ZoneState::In, ZoneState::In, ZoneState::In), 0);
  for (int i = 0; i < aCount; ++i) {
    ApplyReport(
      balancer,
      MakeReport(i, std::string(1, static_cast<char>('a' + i % 3)), aAllowance),
      0);
  }
  return balancer;
}

Choice
Choose(Balancer& aBalancer,
       RandomEngine& aRandom,
       const BalancerOptions& aOptions = {},
       TimeMs aNowMs = 0,
       std::span<const std::uint64_t> aPrefix = {})
{
  ChoiceRequest request;
  request.mPool = "pool";
  request.mVersion = "medium@1";
  request.mPrefix = aPrefix;
  request.mTokens = 100;
  return ChooseBackend(aBalancer, aOptions, request, aRandom, aNowMs);
}

// Sends requests until no backend server is eligible, at most aMaxRequests, and
// returns the number by address.
std::map<std::string, int>
Fill(Balancer& aBalancer,
     RandomEngine& aRandom,
     const BalancerOptions& aOptions,
     int aMaxRequests,
     TimeMs aNowMs = 0)
{
  std::map<std::string, int> sent;
  for (int i = 0; i < aMaxRequests; ++i) {
    auto choice = Choose(aBalancer, aRandom, aOptions, aNowMs);
    if (choice.mCandidates.empty()) {
      break;
    }
    const auto& address = choice.mCandidates.front().mAddress;
    OnRequestSent(aBalancer, aOptions, address, 100, {}, aNowMs);
    ++sent[address];
  }
  return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(balancer)

// Guards against a full load on cold backend servers when all warm ones are
// gone: the excess must be refused as cold_limit (guarantee 5). With the
// mechanism switched off the check must fail.
BOOST_AUTO_TEST_CASE(cold_servers_get_no_more_than_their_allowance)
{
  auto largestLoad = [](const BalancerOptions& aOptions) {
    RandomEngine random(1);
    auto balancer = MakeFleet(12);
    for (int i = 0; i < 12; ++i) {
      if (i < 9) {
        RemoveBackend(balancer, "agent-" + std::to_string(i));
        continue;
      }
      // Cold again without notice, under the same address and incarnation.
      ApplyReport(balancer, MakeReport(i, "a", i == 9 ? 2 : 1), 10);
    }
    int largest = 0;
    for (const auto& [address, count] :
         Fill(balancer, random, aOptions, 100, 10)) {
      largest = std::max(largest, count);
    }
    return largest;
  };
  BOOST_TEST(largestLoad({}) <= 2);
  BalancerOptions without;
  without.mUseAllowance = false;
  BOOST_TEST(largestLoad(without) > 2);
}

// Guards against a cold member of a warm pool that is loaded beyond its
// allowance, and against a refusal that states the wrong cause.
BOOST_AUTO_TEST_CASE(cold_member_of_a_warm_pool_is_a_hard_limit)
{
  RandomEngine random(2);
  auto balancer = MakeFleet(6, 8);
  ApplyReport(balancer, MakeReport(4, "b", 1), 5);
  auto sent = Fill(balancer, random, {}, 1000, 5);
  BOOST_TEST(sent["agent-4"] == 1);
  auto choice = Choose(balancer, random, {}, 5);
  BOOST_TEST((choice.mCode == ErrorCode::Overloaded));
  BOOST_TEST(choice.mRetryAfterMs > 0);
  BOOST_TEST(!choice.mReason.empty());
}

// Guards against new requests in a zone that is out, for one and for two zones,
// while prefixes of sessions are still recorded there (guarantee 6).
BOOST_AUTO_TEST_CASE(zone_out_receives_nothing_even_with_sessions)
{
  std::vector<std::uint64_t> prefix{ 1, 2, 3 };
  auto inZones = [&](ZoneState aB, ZoneState aC, BalancerOptions aOptions) {
    RandomEngine random(3);
    auto balancer = MakeFleet(12);
    OnRequestSent(balancer, aOptions, "agent-1", 100, prefix, 0);
    ApplyZones(balancer, MakeZones(ZoneState::In, aB, aC), 10);
    std::set<int> zones;
    for (int i = 0; i < 300; ++i) {
      for (const auto& candidate :
           Choose(balancer, random, aOptions, 10, prefix).mCandidates) {
        zones.insert(std::stoi(candidate.mAddress.substr(6)) % 3);
      }
    }
    return zones;
  };
  BOOST_TEST(
    (inZones(ZoneState::Out, ZoneState::In, {}) == std::set<int>{ 0, 2 }));
  BOOST_TEST(
    (inZones(ZoneState::Out, ZoneState::Out, {}) == std::set<int>{ 0 }));
  BalancerOptions without;
  without.mUseZones = false;
  BOOST_TEST(
    (inZones(ZoneState::Out, ZoneState::Out, without) != std::set<int>{ 0 }));
}

// Guards against a returning zone that receives its full share at once, and
// against a share that decreases while the zone is returning.
BOOST_AUTO_TEST_CASE(zone_returns_by_steps_without_oscillation)
{
  BalancerOptions options;
  auto balancer = MakeFleet(12);
  auto zones = MakeZones(ZoneState::In, ZoneState::Out, ZoneState::In);
  ApplyZones(balancer, zones, 0);
  zones[1].mState = ZoneState::Returning;
  ApplyZones(balancer, zones, 1000);
  double last = 0;
  for (TimeMs now = 1000; now < 60000; now += 500) {
    // A configuration that repeats the state must not restart the steps.
    ApplyZones(balancer, zones, now);
    double weight = ZoneWeight(balancer.mZones[1], options, now);
    BOOST_TEST(weight >= last);
    BOOST_TEST(weight <= 1);
    last = weight;
  }
  BOOST_TEST(last == 1);
  BOOST_TEST(ZoneWeight(balancer.mZones[1], options, 1000) < 0.2);
  RandomEngine random(4);
  auto fresh = balancer;
  ApplyZones(fresh, MakeZones(ZoneState::In, ZoneState::Out, ZoneState::In), 0);
  ApplyZones(fresh, zones, 100000);
  int inB = 0;
  for (int i = 0; i < 3000; ++i) {
    auto choice = Choose(fresh, random, options, 100000);
    inB += std::stoi(choice.mCandidates[0].mAddress.substr(6)) % 3 == 1;
  }
  BOOST_TEST(inB < 3000 / 5);
}

// Guards against new requests for a backend server that is leaving, also when
// the announcement comes twice, only from the host list, or is followed by a
// late report without it (guarantee 10). A new incarnation may receive requests
// again.
BOOST_AUTO_TEST_CASE(leaving_is_final_for_an_incarnation)
{
  auto receives = [](Balancer& aBalancer, const BalancerOptions& aOptions) {
    RandomEngine random(5);
    for (int i = 0; i < 200; ++i) {
      for (const auto& candidate :
           Choose(aBalancer, random, aOptions).mCandidates) {
        if (candidate.mAddress == "agent-0") {
          return true;
        }
      }
    }
    return false;
  };
  auto balancer = MakeFleet(6);
  BOOST_TEST(receives(balancer, {}));
  auto leaving = MakeReport(0, "a");
  leaving.mLeaving = true;
  ApplyReport(balancer, leaving, 1);
  ApplyReport(balancer, leaving, 2);
  ApplyReport(balancer, MakeReport(0, "a"), 3);
  BOOST_TEST(!receives(balancer, {}));
  BalancerOptions without;
  without.mUseLeaving = false;
  balancer.mIndexStale = true;
  BOOST_TEST(receives(balancer, without));
  auto old = MakeReport(0, "a");
  old.mSender.mIncarnation = 0;
  ApplyReport(balancer, old, 4);
  balancer.mIndexStale = true;
  BOOST_TEST(!receives(balancer, {}));
  auto restarted = MakeReport(0, "a");
  restarted.mSender.mIncarnation = 2;
  ApplyReport(balancer, restarted, 5);
  BOOST_TEST(receives(balancer, {}));
  MarkLeaving(balancer, "agent-0");
  MarkLeaving(balancer, "agent-0");
  BOOST_TEST(!receives(balancer, {}));
}

// Guards against a thundering herd: entries with the same reports that all
// choose the apparently least loaded backend server at the same time.
BOOST_AUTO_TEST_CASE(entries_spread_over_backend_servers_at_one_moment)
{
  std::map<std::string, int> chosen;
  for (std::uint64_t entry = 0; entry < 400; ++entry) {
    RandomEngine random(entry);
    auto balancer = MakeFleet(40);
    auto busy = MakeReport(7, "b");
    for (int i = 0; i < 40; ++i) {
      busy = MakeReport(i, std::string(1, static_cast<char>('a' + i % 3)));
      busy.mRunning = i == 7 ? 0 : 4;
      ApplyReport(balancer, busy, 1);
    }
    ++chosen[Choose(balancer, random, {}, 1).mCandidates[0].mAddress];
  }
  for (const auto& [address, count] : chosen) {
    BOOST_TEST(count < 400 / 5);
  }
}

// Guards against a refused request that is sent to the same agent repeatedly
// while the agent's reported load looks low enough.
BOOST_AUTO_TEST_CASE(refusing_agent_is_not_tried_again_at_the_same_load)
{
  RandomEngine random(6);
  auto balancer = MakeFleet(1);
  ApplyLoadHint(balancer, "agent-0", { 10, 2, 16, 0, 0 }, 100);
  BOOST_TEST(Choose(balancer, random, {}, 150).mCandidates.empty());
  auto report = MakeReport(0, "a");
  report.mRunning = 9;
  ApplyReport(balancer, report, 200);
  BOOST_TEST(!Choose(balancer, random, {}, 250).mCandidates.empty());
}

// Guards against lost prefix affinity, affinity to a cache that a restart
// emptied, and affinity that outweighs an overload. Cache events may be
// missing.
BOOST_AUTO_TEST_CASE(prefix_affinity_follows_the_cache)
{
  RandomEngine random(7);
  BalancerOptions options;
  auto balancer = MakeFleet(30);
  auto prefix = PrefixHashes(std::string(8192, 'x'));
  BOOST_TEST(prefix.size() == 8U);
  OnRequestSent(balancer, options, "agent-17", 100, prefix, 0);
  OnRequestEnded(balancer, "agent-17", 100);
  auto best = [&] {
    return Choose(balancer, random, options, 1, prefix).mCandidates[0].mAddress;
  };
  BOOST_TEST(best() == "agent-17");
  OnCacheEvent(balancer, options, "agent-17", prefix.back(), false, 1);
  BOOST_TEST(best() == "agent-17");
  auto full = MakeReport(17, "c");
  full.mRunning = 20;
  ApplyReport(balancer, full, 1);
  BOOST_TEST(best() != "agent-17");
  ApplyReport(balancer, MakeReport(17, "c", 1), 2);
  ApplyReport(balancer, MakeReport(17, "c", 16), 3);
  int hits = 0;
  for (int i = 0; i < 100; ++i) {
    hits += best() == "agent-17";
  }
  BOOST_TEST(hits < 30);
}

// Guards against a prefix table that grows without bound.
BOOST_AUTO_TEST_CASE(prefix_table_is_bounded)
{
  BalancerOptions options;
  options.mPrefixCapacity = 1000;
  auto balancer = MakeFleet(3);
  for (std::uint64_t i = 0; i < 20000; ++i) {
    OnCacheEvent(balancer, options, "agent-1", i, true, 0);
  }
  BOOST_TEST(balancer.mPrefixes.size() + balancer.mOlderPrefixes.size() <=
             1000U);
}

// Guards against subsets that ignore the region, exceed their size or change by
// more than the member that was added or removed.
BOOST_AUTO_TEST_CASE(subset_is_stable_and_prefers_the_region)
{
  bool passed = rc::check([] {
    auto count = *rc::gen::inRange<std::size_t>(1, 300);
    std::vector<PoolMember> members;
    for (std::size_t i = 0; i < count; ++i) {
      members.push_back(
        { "agent-" + std::to_string(i), i % 3 == 0 ? "near" : "far" });
    }
    auto subset = ChooseSubset("entry", "near", members);
    RC_ASSERT(subset.size() == std::min<std::size_t>(64, count));
    std::size_t near = 0;
    for (const auto& address : subset) {
      near += std::stoul(address.substr(6)) % 3 == 0 ? 1 : 0;
    }
    RC_ASSERT(near == std::min<std::size_t>(64, (count + 2) / 3));
    auto removed = *rc::gen::inRange<std::size_t>(0, count);
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed));
    auto after = ChooseSubset("entry", "near", members);
    std::set<std::string> before(subset.begin(), subset.end());
    std::size_t added = 0;
    for (const auto& address : after) {
      added += before.contains(address) ? 0 : 1;
    }
    RC_ASSERT(added <= 1U);
  });
  BOOST_TEST(passed);
}

// Guards against load hints that change in a round trip, and against hints of
// other refusals, such as an owner's address, that are parsed as load.
BOOST_AUTO_TEST_CASE(load_hint_round_trip)
{
  auto hint = DecodeLoadHint(EncodeLoadHint({ 3, 4, 16, 5000, 60000 }));
  BOOST_TEST(hint.has_value());
  BOOST_TEST(hint->mQueued == 4);
  BOOST_TEST(hint->mTokenCapacity == 60000);
  for (auto text : { "",
                     "agent-3",
                     "load",
                     "load 1 2 3 4",
                     "load 1 2 3 4 -5",
                     "load 1 2 3 4 5 6",
                     "load 1 2 3 4 99999999999999999999" }) {
    BOOST_TEST(!DecodeLoadHint(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
