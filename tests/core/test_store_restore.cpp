#include "store_sim.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

// Whether a restore is seen by all hosts at once, and how often it happens.
struct RestorePlay
{
  const char* mName;
  int mRestores = 1;
  bool mHalfIsLate = false;
};

const std::vector<RestorePlay> kPlays{
  { "all hosts", 1, false },
  { "half of the hosts late", 1, true },
  { "twice in a row", 2, false },
  { "twice in a row, half of the hosts late", 2, true },
};

void
Change(SimFleet& aFleet, int aSteps)
{
  for (int i = 0; i < aSteps && aFleet.mFault.empty(); ++i) {
    if (aFleet.Chance(0.4)) {
      aFleet.WriteOrder();
    }
    if (aFleet.Chance(0.2)) {
      aFleet.WriteConfig();
    }
    for (int writes = aFleet.Draw(8); writes > 0; --writes) {
      aFleet.WriteOther();
    }
    aFleet.Run(kTickMs * (1 + aFleet.Draw(6)));
  }
}

void
PlayRestore(SimFleet& aFleet, const RestorePlay& aPlay)
{
  Change(aFleet, 25);
  // Changes after the snapshot are in force everywhere before they are lost.
  SimStore snapshot = aFleet.mStore;
  Change(aFleet, 10);
  aFleet.Run(kApplyMs);
  for (int restore = 0; restore < aPlay.mRestores; ++restore) {
    aFleet.Restore(snapshot);
    for (SimHost& host : aFleet.mHosts) {
      host.mIsOnOldStore = aPlay.mHalfIsLate && aFleet.Chance(0.5);
    }
    Change(aFleet, 3);
    // The next restore loses a part of what is written again.
    aFleet.RepeatOrders();
    Change(aFleet, 3);
    snapshot = aFleet.mStore;
    Change(aFleet, 4);
    for (SimHost& host : aFleet.mHosts) {
      host.mIsOnOldStore = false;
    }
  }
  Change(aFleet, 5);
  aFleet.Run(kRestoreHoldMs + kApplyMs + kContactMs);
}

StoreEntries
MakeList(std::int64_t aEpoch,
         std::int64_t aRevision,
         std::vector<StoreEntry> aEntries)
{
  return { aRevision, std::move(aEntries), false, aEpoch };
}

std::string
Describe(const std::vector<StoreEntry>& aEntries)
{
  std::string text;
  for (const StoreEntry& entry : aEntries) {
    text += entry.mDeleted ? "-" + entry.mKey : entry.mKey + "=" + entry.mValue;
    text += " ";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_restore)

// Guards against an operator's write that goes back at a host, or that a host
// never has, and against copies that mix two epochs: 36 hosts in three zones,
// with reused revisions and changes all the while.
BOOST_AUTO_TEST_CASE(nothing_in_force_goes_back_at_36_hosts)
{
  for (unsigned seed = 1; seed <= 6; ++seed) {
    for (const RestorePlay& play : kPlays) {
      SimFleet fleet({ 14, 12, 10 }, seed);
      PlayRestore(fleet, play);
      std::string name =
        std::string(play.mName) + ", seed " + std::to_string(seed);
      BOOST_TEST(fleet.mFault.empty(), name << ": " << fleet.mFault);
      if (!fleet.mFault.empty()) {
        continue;
      }
      Keys expected;
      for (const auto& [key, entry] : fleet.mStore.mEntries) {
        expected[key] = entry.mModRevision;
      }
      std::map<std::string, std::string> orders;
      for (const auto& [key, order] : fleet.mOrders) {
        if (!order.second) {
          orders[key] = std::to_string(order.first);
        }
      }
      for (const SimHost& host : fleet.mHosts) {
        BOOST_TEST(host.mCopy.mEpoch == fleet.mStore.mEpoch, name);
        BOOST_TEST((KeysOf(host.mCopy) == expected), name << host.mName);
        BOOST_TEST((host.mInForce == orders), name << host.mName);
        BOOST_TEST(host.mCopy.mHeld.empty(), name);
      }
    }
  }
}

// Guards against a restore that puts an earlier state in force, and against a
// lost entry that stays for ever.
BOOST_AUTO_TEST_CASE(lost_state_is_held_for_a_while)
{
  StoreCopy copy;
  ApplyList(copy, MakeList(1, 10, { { "drain", "no", 5 }, { "old", "1", 6 } }));
  ApplyChanges(copy,
               { 10,
                 { 13,
                   { { "drain", "yes", 11 },
                     { "zone", "out", 12 },
                     { "old", "", 13, true } },
                   false,
                   1 } });
  // Revision 11 is given out again, for another key.
  StoreEntries restored = MakeList(
    2, 11, { { "drain", "no", 5 }, { "old", "1", 6 }, { "new", "1", 11 } });
  BOOST_TEST(
    Describe(ApplyList(copy, restored, { 1000, {} }).mEntries.mEntries) ==
    "new=1 ");
  BOOST_TEST(copy.mHeld.size() == 3U);
  BOOST_TEST(ReleaseHeld(copy, 1000 + kRestoreHoldMs - 1).empty());
  // The operator writes one of them again; its value is in force already.
  auto repeated =
    ApplyChanges(copy, { 11, { 12, { { "zone", "out", 12 } }, false, 2 } });
  BOOST_TEST(Describe(repeated) == "zone=out ");
  BOOST_TEST(Describe(ReleaseHeld(copy, 1000 + kRestoreHoldMs)) ==
             "drain=no old=1 ");
  BOOST_TEST(copy.mHeld.empty());
}

// Guards against a second restore that takes the first one's lost state for
// what was in force.
BOOST_AUTO_TEST_CASE(second_restore_holds_what_was_in_force)
{
  StoreCopy copy;
  ApplyList(copy, MakeList(1, 10, { { "drain", "no", 5 } }));
  ApplyChanges(
    copy,
    { 10, { 12, { { "drain", "yes", 11 }, { "a", "1", 12 } }, false, 1 } });
  StoreEntries restored = MakeList(2, 10, { { "drain", "no", 5 } });
  BOOST_TEST(ApplyList(copy, restored, { 0, {} }).mEntries.mEntries.empty());
  restored.mEpoch = 3;
  BOOST_TEST(ApplyList(copy, restored, { 9000, {} }).mEntries.mEntries.empty());
  BOOST_TEST(ReleaseHeld(copy, 10000).empty());
  BOOST_TEST(Describe(ReleaseHeld(copy, 19000)) == "-a drain=no ");
}

// Guards against a host that saw the first restore late and takes for new what
// the operator wrote again in between.
BOOST_AUTO_TEST_CASE(second_restore_holds_what_was_never_seen)
{
  StoreCopy copy;
  ApplyList(copy, MakeList(1, 20, { { "order", "5", 20 } }));
  ApplyList(copy, MakeList(2, 15, { { "order", "6", 15 } }), { 0, {} });
  StoreEntries restored = MakeList(3, 13, { { "order", "5", 12 } });
  BOOST_TEST(ApplyList(copy, restored, { 0, {} }).mEntries.mEntries.empty());
  BOOST_TEST(copy.mHeld.at("order").mInForce.mValue == "6");
}

// Guards against answers of an older epoch that arrive late, and against
// changes of a newer one that are applied to this copy.
BOOST_AUTO_TEST_CASE(other_epochs_change_nothing)
{
  StoreCopy copy;
  ApplyList(copy, MakeList(2, 10, { { "a", "1", 5 } }));
  BOOST_TEST(ApplyList(copy, MakeList(1, 90, { { "a", "0", 80 } }))
               .mEntries.mEntries.empty());
  for (std::int64_t epoch : { 0, 1, 3 }) {
    StoreChanges changes{ 10, { 11, { { "a", "0", 11 } }, false, epoch } };
    BOOST_TEST(ApplyChanges(copy, changes).empty());
    BOOST_TEST(!ChangesAfter(copy, { epoch, 10 }));
  }
  BOOST_TEST(ChangesAfter(copy, { 2, 10 }).has_value());
  BOOST_TEST(copy.mEntries.at("a").mValue == "1");
  BOOST_TEST((RevisionOf(copy) == StoreRevision{ 2, 10 }));
}

// Guards against a fleet that calls the restored store in one instant.
BOOST_AUTO_TEST_CASE(first_calls_after_a_restore_are_spread)
{
  std::map<TimeMs, int> hostsBySlot;
  for (int host = 0; host < 400; ++host) {
    TimeMs delayMs = RestoreDelayMs("edge-" + std::to_string(host));
    BOOST_REQUIRE(delayMs >= 0);
    BOOST_REQUIRE(delayMs <= 500);
    ++hostsBySlot[delayMs / 50];
  }
  for (const auto& [slot, hosts] : hostsBySlot) {
    BOOST_TEST(hosts < 80);
  }
  BOOST_TEST(hostsBySlot.size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
