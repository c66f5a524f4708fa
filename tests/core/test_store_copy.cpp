#include "store_sim.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(store_copy)

// Guards against a key that stays at a host after it was deleted: written and
// deleted between the copy of the host that sent the difference and its list.
BOOST_AUTO_TEST_CASE(difference_to_a_list_deletes_what_its_sender_never_saw)
{
  SimStore store;
  StoreCopy watcher;
  StoreCopy follower;
  store.Write("a", false);
  ApplyList(watcher, store.List());
  ApplyList(follower, store.List());
  store.Write("b", false);
  ApplyChanges(follower, *store.ChangesAfter(follower.mRevision));
  store.Write("b", true);
  store.Write("c", false);
  ApplyChanges(follower, ApplyList(watcher, store.List()));
  BOOST_TEST((KeysOf(follower) == KeysOf(watcher)));
  BOOST_TEST(!follower.mEntries.contains("b"));
}

// Guards against a log with a hole where a whole list was read.
BOOST_AUTO_TEST_CASE(log_gives_no_changes_from_within_a_list)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  ApplyList(copy, store.List());
  std::int64_t first = copy.mRevision;
  store.Write("b", false);
  store.Write("b", true);
  store.Write("c", false);
  ApplyList(copy, store.List());
  BOOST_TEST(ChangesAfter(copy, { 0, first }).has_value());
  BOOST_TEST(!ChangesAfter(copy, { 0, first + 1 }).has_value());
  BOOST_TEST(!ChangesAfter(copy, { 0, first + 2 }).has_value());
  BOOST_TEST(ChangesAfter(copy, RevisionOf(copy)).has_value());
}

// Guards against spans that grow without end while lists change the revision
// only, as where a key is written and deleted between two of them.
BOOST_AUTO_TEST_CASE(spans_of_lists_are_bounded)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  ApplyList(copy, store.List());
  std::int64_t first = copy.mRevision;
  for (int i = 0; i < 1000; ++i) {
    store.Write("b", false);
    store.Write("b", true);
    ApplyList(copy, store.List());
    BOOST_REQUIRE(copy.mListed.size() <= 64);
  }
  BOOST_TEST(!ChangesAfter(copy, { 0, first }).has_value());
  BOOST_TEST(ChangesAfter(copy, { 0, copy.mListed.front().first }).has_value());
  BOOST_TEST(ChangesAfter(copy, RevisionOf(copy)).has_value());
}

// Guards against memory for the changes that grows with the length of values.
BOOST_AUTO_TEST_CASE(log_is_bounded_in_bytes)
{
  StoreCopy copy;
  for (int revision = 1; revision <= 20; ++revision) {
    StoreChanges changes;
    StoreEntry entry;
    entry.mKey = "long";
    entry.mValue.assign(1024 * 1024, 'v');
    entry.mModRevision = revision;
    changes.mEntries.mEntries = { entry };
    changes.mEntries.mRevision = revision;
    ApplyChanges(copy, changes);
    BOOST_REQUIRE(copy.mLog.size() <= 4U);
  }
  BOOST_TEST(!ChangesAfter(copy, { 0, 1 }).has_value());
  BOOST_TEST(ChangesAfter(copy, { 0, 18 }).has_value());
}

// Guards against a peer that keeps a key, since the host that it asks never had
// that key and left the deletion out of its log.
BOOST_AUTO_TEST_CASE(log_keeps_deletions_of_unknown_keys)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  StoreCopy peer;
  ApplyList(copy, store.List());
  ApplyList(peer, store.List());
  store.Write("b", false);
  ApplyChanges(peer, *store.ChangesAfter(peer.mRevision));
  store.Write("b", true);
  // A store that reports the last change of each key only.
  StoreChanges last = *store.ChangesAfter(copy.mRevision);
  last.mEntries.mEntries.erase(last.mEntries.mEntries.begin());
  ApplyChanges(copy, last);
  auto changes = ChangesAfter(copy, RevisionOf(peer));
  BOOST_REQUIRE(changes);
  ApplyChanges(peer, *changes);
  BOOST_TEST((KeysOf(peer) == KeysOf(copy)));
}

// Peers pass changes on while a host reads the whole list.
BOOST_AUTO_TEST_CASE(list_older_than_the_copy_brings_back_no_deleted_key)
{
  SimStore store;
  StoreCopy copy;
  store.Write("a", false);
  store.Write("b", false);
  ApplyList(copy, store.List());
  std::int64_t known = copy.mRevision;
  StoreEntries list = store.List();
  store.Write("b", true);
  ApplyChanges(copy, *store.ChangesAfter(known));
  StoreChanges changes = ApplyList(copy, list);
  BOOST_TEST(changes.mEntries.mEntries.empty());
  BOOST_TEST((KeysOf(copy) == Keys{ { "a", 2 } }));
  BOOST_TEST(copy.mRevision == store.mRevision);
}

// Load: 103 hosts in five zones, ten changes a second. Guards against a
// configuration that is not in force within its bound at a host in touch, or
// that goes back, and against copies that differ from the store in calm, while
// the hosts that watch the store fail and it loses its history.
BOOST_AUTO_TEST_CASE(configuration_is_in_force_at_103_hosts)
{
  const std::vector<int> zones{ 19, 23, 22, 19, 20 };
  for (unsigned seed = 1; seed <= 4; ++seed) {
    for (const auto& [name, set] : kFaults) {
      for (bool compacts : { false, true }) {
        SimFleet fleet(zones, seed);
        PlayFleet(fleet, set, compacts);
        std::string play = name + ", " + (compacts ? "no history, " : "") +
                           "seed " + std::to_string(seed);
        BOOST_TEST(fleet.mFault.empty(), play << ": " << fleet.mFault);
        if (!fleet.mFault.empty()) {
          continue;
        }
        Keys expected;
        for (const auto& [key, entry] : fleet.mStore.mEntries) {
          expected[key] = entry.mModRevision;
        }
        auto differing = std::count_if(
          fleet.mHosts.begin(), fleet.mHosts.end(), [&](const SimHost& aHost) {
            return KeysOf(aHost.mCopy) != expected;
          });
        BOOST_TEST(differing == 0, play << ": " << differing << " differ");
      }
    }
  }
}

// Load: 30 hosts, two configurations a second, too long for a datagram.
BOOST_AUTO_TEST_CASE(change_is_in_force_while_watchers_fail_in_turn)
{
  constexpr TimeMs kShortApplyMs = 3000;
  constexpr TimeMs kShortContactMs = 4000;
  constexpr TimeMs kPlayMs = 40000;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SimFleet fleet({ 8, 8, 7, 7 }, seed, kShortApplyMs);
    fleet.mContactMs = kShortContactMs;
    fleet.mConfigFits = false;
    PlayFaultsInTurn(fleet, kPlayMs);
    BOOST_TEST(fleet.mFault.empty(), "seed " << seed << ": " << fleet.mFault);
  }
}

BOOST_AUTO_TEST_SUITE_END()
