#include "savory/core/peer_table.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

constexpr TimeMs kNowMs = 100000;

// A peer that was heard just now and reaches the store.
Peer
MakePeer(const std::string& aHost)
{
  Peer peer;
  peer.mHost = aHost;
  peer.mZone = "z";
  peer.mLastHeardMs = kNowMs;
  peer.mStoreRevision = { 0, 500 };
  peer.mContactMs = kNowMs - 1000;
  peer.mLiveHosts = 3;
  return peer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_table)

// Load: 103 hosts of which many were killed and start at once, each before it
// has heard the others. Guards against shares of a cold runner's allowance that
// add up to several times the allowance.
BOOST_AUTO_TEST_CASE(host_that_starts_takes_no_large_share)
{
  PeerTable peers;
  peers["10.0.0.2"];
  peers["10.0.0.3"];
  BOOST_TEST(CountEntryHosts(peers, 3, kNowMs, kNowMs) >= 103);
  peers["10.0.0.2"] = MakePeer("b");
  peers["10.0.0.2"].mLiveHosts = 103;
  BOOST_TEST(CountEntryHosts(peers, 3, kNowMs, kNowMs) == 103);
  // A host that nobody answers is alone after a while.
  peers["10.0.0.2"] = {};
  BOOST_TEST(CountEntryHosts(peers, 3, kNowMs - 2000, kNowMs) == 3);
  BOOST_TEST(CountEntryHosts({}, 1, kNowMs, kNowMs) == 1);
}

// Guards against shares that stay small after hosts have left: a peer's count
// is used only while it is heard.
BOOST_AUTO_TEST_CASE(count_of_a_silent_peer_is_not_used)
{
  PeerTable peers{ { "10.0.0.2", MakePeer("b") } };
  peers["10.0.0.2"].mLiveHosts = 103;
  TimeMs later = kNowMs + kPeerTimeoutMs;
  BOOST_TEST(CountEntryHosts(peers, 1, 0, later) == 1);
}

// Guards against a trial of a blocked prompt part at several hosts at once, and
// against one at none after the first host has left.
BOOST_AUTO_TEST_CASE(one_host_is_first_by_rank)
{
  std::vector<std::string> hosts{ "a", "b", "c", "d" };
  for (std::uint64_t key = 0; key < 50; ++key) {
    std::vector<std::string> first;
    auto find = [&](const std::string& aLeaving) {
      first.clear();
      for (const std::string& host : hosts) {
        PeerTable peers;
        for (const std::string& other : hosts) {
          if (other != host) {
            peers[other] = MakePeer(other);
            peers[other].mLeaving = other == aLeaving;
          }
        }
        if (host != aLeaving && IsFirstByRank(peers, host, key, kNowMs)) {
          first.push_back(host);
        }
      }
    };
    find("");
    BOOST_REQUIRE(first.size() == 1U);
    std::string leaving = first[0];
    find(leaving);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0] != leaving);
  }
}

// Guards against two hosts that drive a roll-out at once, and against none: the
// coordinator is the lowest name that reaches the store itself.
BOOST_AUTO_TEST_CASE(coordinator_reaches_the_store)
{
  PeerTable peers{ { "10.0.0.2", MakePeer("a") } };
  Peer& peer = peers.at("10.0.0.2");
  auto isFirst = [&] {
    return IsFirstCoordinator(peers, "b", { 0, 500 }, kNowMs);
  };
  BOOST_TEST(!isFirst());
  BOOST_TEST(IsFirstCoordinator(peers, "0", { 0, 500 }, kNowMs));
  peer.mContactMs.reset();
  BOOST_TEST(isFirst(), "a follower drives nothing");
  peer = MakePeer("a");
  peer.mContactMs = kNowMs - 4000;
  BOOST_TEST(isFirst(), "lost the store");
  peer = MakePeer("a");
  peer.mStoreRevision = { 0, 400 };
  BOOST_TEST(isFirst(), "far behind");
  peer = MakePeer("a");
  peer.mLeaving = true;
  BOOST_TEST(isFirst(), "leaving");
  peer = MakePeer("a");
  peer.mLastHeardMs = kNowMs - kPeerTimeoutMs;
  BOOST_TEST(isFirst(), "silent");
}

// Guards against a follower that fetches from a host which may be behind the
// store, and against hosts that fetch what they have.
BOOST_AUTO_TEST_CASE(followers_fetch_from_their_watchers)
{
  WatchDutyOptions options;
  options.mHost = "b";
  options.mZone = "z";
  PeerTable peers{ { "10.0.0.2", MakePeer("a") },
                   { "10.0.0.3", MakePeer("c") },
                   { "10.0.0.4", MakePeer("d") } };
  peers["10.0.0.3"].mContactMs.reset();
  peers["10.0.0.3"].mStoreRevision = { 0, 510 };
  peers["10.0.0.4"].mZone = "other";
  peers["10.0.0.4"].mStoreRevision = { 0, 520 };
  auto choose = [&](bool aIsFollowing, std::int64_t aRevision) {
    return ChoosePullSource(
             peers, options, aIsFollowing, { 0, aRevision }, kNowMs)
      .value_or("none");
  };
  BOOST_TEST(choose(true, 490) == "10.0.0.2");
  BOOST_TEST(choose(true, 500) == "none");
  BOOST_TEST(choose(false, 490) == "10.0.0.4");
  peers["10.0.0.4"].mLastHeardMs = kNowMs - kPeerTimeoutMs;
  BOOST_TEST(choose(false, 490) == "10.0.0.3");
}

// Guards against an outage of one host that is taken for one of the store, by
// which it would keep runners that have left.
BOOST_AUTO_TEST_CASE(store_serves_peers_while_one_has_answers)
{
  PeerTable peers{ { "10.0.0.2", MakePeer("a") }, { "10.0.0.3", {} } };
  BOOST_TEST(IsStoreServingPeers(peers, kNowMs));
  peers["10.0.0.2"].mContactMs = kNowMs - 4000;
  BOOST_TEST(!IsStoreServingPeers(peers, kNowMs));
}

// Guards against a coordinator that has not heard of a restore of the store,
// and against hosts that fetch an older epoch because its revisions are higher.
BOOST_AUTO_TEST_CASE(newer_epoch_comes_before_higher_revisions)
{
  WatchDutyOptions options;
  options.mHost = "b";
  options.mZone = "z";
  PeerTable peers{ { "10.0.0.2", MakePeer("a") } };
  Peer& peer = peers.at("10.0.0.2");
  peer.mStoreRevision = { 1, 900 };
  BOOST_TEST(IsFirstCoordinator(peers, "b", { 2, 20 }, kNowMs));
  BOOST_TEST(!ChoosePullSource(peers, options, false, { 2, 20 }, kNowMs));
  BOOST_TEST(NewestEpoch(peers, kNowMs) == 1);
  peer.mStoreRevision = { 3, 20 };
  BOOST_TEST(!IsFirstCoordinator(peers, "b", { 2, 900 }, kNowMs));
  BOOST_TEST(
    ChoosePullSource(peers, options, false, { 2, 900 }, kNowMs).has_value());
  BOOST_TEST(NewestEpoch(peers, kNowMs + kPeerTimeoutMs) == 0);
}

// Around an outage of the store, runners that were removed stay in use.
BOOST_AUTO_TEST_CASE(outage_of_one_zone_is_not_the_stores)
{
  PeerTable peers{ { "10.0.0.2", MakePeer("b") },
                   { "10.0.0.3", MakePeer("c") } };
  WatchDutyOptions options;
  options.mZone = "z";
  peers["10.0.0.2"].mReachableSinceMs = kNowMs - 500;
  peers["10.0.0.3"].mZone = "y";
  peers["10.0.0.3"].mReachableSinceMs = 1000;
  auto since = [&] { return ServingSinceMs(peers, options, 0, kNowMs); };
  BOOST_TEST(since().value() == 1000);
  peers["10.0.0.3"].mContactMs.reset();
  BOOST_TEST(since().value() == kNowMs - 500, "no other peer tells");
  peers["10.0.0.2"].mContactMs.reset();
  BOOST_TEST(!since().has_value());
}

BOOST_AUTO_TEST_CASE(copy_is_whole_as_of_peers_that_know_nothing_newer)
{
  const Peer known = MakePeer("b");
  PeerTable peers{ { "10.0.0.2", known } };
  Peer& peer = peers.at("10.0.0.2");
  auto asOf = [&](const StoreRevision& aPosition, TimeMs aSinceMs) {
    return WholeAsOfMs(peers, aPosition, aSinceMs, kNowMs);
  };
  BOOST_TEST(asOf({ 0, 500 }, 0).value() == kNowMs - 1000);
  BOOST_TEST(!asOf({ 0, 499 }, 0).has_value(), "knows more");
  BOOST_TEST(!asOf({ 1, 20 }, 0).has_value(), "an older epoch");
  BOOST_TEST(!asOf({ 0, 500 }, kNowMs + 1).has_value(), "heard before");
  peer.mContactMs = kNowMs - 4000;
  BOOST_TEST(!asOf({ 0, 500 }, 0).has_value(), "lost the store");
  peer = known;
  peers["10.0.0.3"] = known;
  peers["10.0.0.3"].mContactMs = kNowMs - 300;
  BOOST_TEST(asOf({ 0, 600 }, 0).value() == kNowMs - 300, "the latest");
}

BOOST_AUTO_TEST_SUITE_END()
