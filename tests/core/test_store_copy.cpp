#include "savory/core/value_delta.h"
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
    entry.mKey = "long-" + std::to_string(revision);
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

// Guards against a log that keeps versions which nobody needs.
BOOST_AUTO_TEST_CASE(log_has_the_newest_version_of_a_large_value)
{
  StoreCopy copy;
  ApplyList(copy, { 1, {} });
  std::mt19937 random(1);
  for (int revision = 2; revision <= 20; ++revision) {
    StoreEntry entry{ "long", {}, revision };
    entry.mValue.resize(kLargeValueBytes);
    std::generate(entry.mValue.begin(), entry.mValue.end(), [&random] {
      return static_cast<char>(random());
    });
    ApplyChanges(copy, { revision - 1, { revision, { entry } } });
    BOOST_REQUIRE(copy.mLog.size() == 1U);
  }
  auto changes = ChangesAfter(copy, { 0, 1 });
  BOOST_REQUIRE(changes);
  BOOST_TEST(changes->mEntries.mEntries.size() == 1U);
}

// Guards against a whole document that is sent for a change of one of its rows,
// and against a document that differs from the store's: hosts read the store at
// different moments and lose messages of each other.
BOOST_AUTO_TEST_CASE(large_value_travels_as_deltas)
{
  constexpr std::size_t kRowBytes = 20;
  constexpr std::size_t kRows = 1000;
  std::string document(kRowBytes * kRows, 'r');
  std::mt19937 random(7);
  auto draw = [&random](std::size_t aBelow) { return random() % aBelow; };
  std::generate(document.begin(), document.end(), [&] {
    return static_cast<char>('a' + draw(26));
  });
  SimStore store;
  store.Write("document", false, document);
  std::vector<StoreCopy> copies(4);
  for (StoreCopy& copy : copies) {
    ApplyList(copy, store.List());
  }
  int deltas = 0;
  int unknownBases = 0;
  auto receive = [&](StoreCopy& aCopy, StoreChanges aChanges) {
    if (aChanges.mFromRevision > aCopy.mRevision ||
        aChanges.mEntries.mRevision <= aCopy.mRevision) {
      return;
    }
    if (!ResolveDeltas(aCopy, aChanges)) {
      ++unknownBases;
      return;
    }
    ApplyChanges(aCopy, aChanges);
  };
  for (int step = 0; step < 1000; ++step) {
    if (draw(3) > 0) {
      document.replace(
        kRowBytes * draw(kRows - 100), 3, std::to_string(draw(kRows)));
      store.Write("document", false, document);
    } else {
      store.Write("other", draw(2) == 0, "value");
    }
    // The first two copies read the store.
    StoreCopy& reader = copies[draw(2)];
    if (draw(2) == 0) {
      StoreRevision before = RevisionOf(reader);
      ApplyChanges(reader, *store.ChangesAfter(before.mRevision));
      auto sent = ChangesAfter(reader, before, ChangeForm::Deltas);
      BOOST_REQUIRE(sent);
      for (const StoreEntry& entry : sent->mEntries.mEntries) {
        deltas += entry.mBaseRevision > 0;
        BOOST_REQUIRE(entry.mValue.size() + entry.mDelta.size() < 5000U);
      }
      for (StoreCopy& copy : copies) {
        if (draw(4) > 0) {
          receive(copy, *sent);
        }
      }
    }
    // The others ask for what they lack.
    StoreCopy& follower = copies[2 + draw(2)];
    if (follower.mRevision < reader.mRevision) {
      auto form = draw(3) > 0 ? ChangeForm::Deltas : ChangeForm::Values;
      receive(follower, *ChangesAfter(reader, RevisionOf(follower), form));
    }
    for (const StoreCopy& copy : copies) {
      const StoreEntry& entry = copy.mEntries.at("document");
      auto written =
        std::find_if(store.mHistory.begin(),
                     store.mHistory.end(),
                     [&entry](const StoreEntry& aEntry) {
                       return aEntry.mModRevision == entry.mModRevision;
                     });
      BOOST_REQUIRE((written->mValue == entry.mValue));
    }
  }
  BOOST_TEST(deltas > 100);
  BOOST_TEST(unknownBases > 0, "no message came after another reader's");
  for (StoreCopy& copy : copies) {
    ApplyChanges(copy, *store.ChangesAfter(copy.mRevision));
    BOOST_TEST((copy.mEntries.at("document").mValue == document));
  }
}

// Guards against superseded versions that are read where a list is shorter.
BOOST_AUTO_TEST_CASE(watch_is_read_while_it_is_shorter_than_a_list)
{
  constexpr std::uint64_t kVersionBytes = 4 * 480 * 1024 / 3;
  StoreCopy copy;
  BOOST_TEST(MaxWatchAnswerBytes(copy, false) == 64U * 1024);
  StoreEntries list{ 1, {} };
  list.mEntries.push_back({ "document", std::string(480 * 1024, 'v'), 1 });
  for (int i = 0; i < 60; ++i) {
    list.mEntries.push_back({ "runner-" + std::to_string(i), "{}", 1 });
  }
  ApplyList(copy, list);
  BOOST_TEST(MaxWatchAnswerBytes(copy, false) > kVersionBytes);
  BOOST_TEST(MaxWatchAnswerBytes(copy, false) < 2 * kVersionBytes);
  BOOST_TEST(MaxWatchAnswerBytes(copy, true) < kVersionBytes);
}

// Guards against a datagram whose deltas fill the memory of a small host.
BOOST_AUTO_TEST_CASE(restored_values_are_bounded)
{
  const std::string value(1024 * 1024, 'v');
  StoreCopy copy;
  StoreEntries list{ 1, {} };
  StoreChanges chain{ 1, { 1, {} } };
  StoreChanges many{ 1, { 1, {} } };
  std::string delta = *MakeValueDelta("v", value);
  for (int i = 0; i < 12; ++i) {
    StoreEntry entry{ "key-" + std::to_string(i), "v", 1 };
    list.mEntries.push_back(entry);
    entry.mValue.clear();
    entry.mDelta = delta;
    entry.mBaseRevision = 1;
    entry.mModRevision = many.mEntries.mRevision = 2 + i;
    many.mEntries.mEntries.push_back(entry);
    // The same key again and again.
    entry.mKey = "key-0";
    entry.mDelta = i == 0 ? delta : *MakeValueDelta(value, value);
    entry.mBaseRevision = 1 + i;
    chain.mEntries.mRevision = entry.mModRevision;
    chain.mEntries.mEntries.push_back(entry);
  }
  ApplyList(copy, list);
  BOOST_TEST(!ResolveDeltas(copy, many));
  BOOST_REQUIRE(ResolveDeltas(copy, chain));
  for (int i = 0; i < 11; ++i) {
    BOOST_TEST(chain.mEntries.mEntries[i].mValue.empty());
  }
  auto applied = ApplyChanges(copy, chain);
  BOOST_REQUIRE(applied.size() == 1U);
  BOOST_TEST((copy.mEntries.at("key-0").mValue == value));
}

// Guards against a superseded document that is put in force on the way.
BOOST_AUTO_TEST_CASE(superseded_version_of_a_large_value_is_not_applied)
{
  SimStore store;
  StoreCopy copy;
  store.Write("document", false, std::string(kLargeValueBytes, 'a'));
  store.Write("small", false, "1");
  ApplyList(copy, store.List());
  std::int64_t known = copy.mRevision;
  store.Write("document", false, std::string(kLargeValueBytes, 'b'));
  store.Write("small", false, "2");
  store.Write("document", false, std::string(kLargeValueBytes, 'c'));
  store.Write("small", false, "3");
  auto applied = ApplyChanges(copy, *store.ChangesAfter(known));
  std::vector<std::string> values;
  values.reserve(applied.size());
  for (const StoreEntry& entry : applied) {
    values.push_back(entry.mValue.substr(0, 1));
  }
  std::vector<std::string> expected{ "2", "c", "3" };
  BOOST_TEST(values == expected, boost::test_tools::per_element());
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
