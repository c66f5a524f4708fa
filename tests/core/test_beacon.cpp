#include "savory/core/beacon.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace savory;

namespace {

constexpr int kRunners = 160;

// A host that has sent a long prompt with many shared parts to each runner.
RunnerSet
MakeBusySet()
{
  RunnerSet set;
  for (int i = 0; i < kRunners; ++i) {
    RunnerState& runner = set.mRunners["i-" + std::to_string(1000000000 + i)];
    runner.mUnreportedPrefillMs = 100 + i;
    runner.mUnreportedParts.assign(20, 0xffffffffffffffffU);
  }
  return set;
}

// Suspects with the longest names and as many crashes as are kept.
CrashSuspects
MakeSuspects(std::uint64_t aCount)
{
  CrashSuspects suspects;
  CrashReport report;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    CrashCandidate candidate{
      { std::string(64, 's'), 0xfffffffffffff000U + i, {} }, 0, true
    };
    for (std::uint64_t crash = 1; crash <= 8; ++crash) {
      OnCrash(suspects,
              CrashSuspectOptions{},
              0xffffffffffffff00U + crash,
              { &candidate, 1 },
              1000000 + static_cast<TimeMs>(crash));
    }
  }
  return suspects;
}

} // namespace

BOOST_AUTO_TEST_SUITE(beacon)

// Guards against prefills that are never reported as a beacon is full, or that
// count twice: each runner's are in exactly one of the next beacons. A host
// that starts later receives none of the past ones.
BOOST_AUTO_TEST_CASE(each_prefill_is_reported_once)
{
  RunnerSet set = MakeBusySet();
  BeaconCursor cursor;
  std::map<std::string, int> reports;
  double reportedMs = 0;
  for (int beacon = 0; beacon < kRunners; ++beacon) {
    PeerMessage message;
    AddPrefillReports(message, set, cursor);
    for (const auto& [runner, report] : message.mPrefills) {
      ++reports[runner];
      reportedMs += report.mPrefillMs;
      BOOST_TEST(report.mPartKeys.size() == 20U);
    }
  }
  BOOST_TEST(reports.size() == static_cast<std::size_t>(kRunners));
  for (const auto& [runner, count] : reports) {
    BOOST_TEST(count == 1, runner);
  }
  BOOST_TEST(reportedMs == kRunners * 100 + kRunners * (kRunners - 1) / 2);
}

// Guards against runners at the end of the order that wait while those at its
// start are reported again and again.
BOOST_AUTO_TEST_CASE(busy_runners_take_turns)
{
  BeaconCursor cursor;
  std::set<std::string> reported;
  for (int beacon = 0; beacon < 12; ++beacon) {
    RunnerSet set = MakeBusySet();
    PeerMessage message;
    AddPrefillReports(message, set, cursor);
    for (const auto& [runner, report] : message.mPrefills) {
      reported.insert(runner);
    }
  }
  BOOST_TEST(reported.size() == static_cast<std::size_t>(kRunners));
}

// Guards against suspects that no peer ever hears of, as others come before
// them.
BOOST_AUTO_TEST_CASE(all_suspects_are_told_in_turn)
{
  CrashSuspects suspects = MakeSuspects(50);
  std::set<SuspectKey> told;
  for (int beacon = 0; beacon < 13; ++beacon) {
    for (const auto& row : MakeCrashReport(suspects, 2000000).mSuspects) {
      told.insert(row.mKey);
    }
  }
  BOOST_TEST(told.size() == 50U);
  CrashSuspects none;
  BOOST_TEST(MakeCrashReport(none, 0).mSuspects.empty());
}

// Guards against a beacon that outgrows its bound with everything in it at its
// largest: prefills, suspects, addresses and version shifts of ten services.
BOOST_AUTO_TEST_CASE(fullest_beacon_stays_within_its_bound)
{
  RunnerSet set = MakeBusySet();
  BeaconCursor cursor;
  PeerMessage message;
  message.mHost = std::string(64, 'h');
  message.mZone = std::string(64, 'z');
  message.mAddress = "255.255.255.255";
  message.mContactAgeMs = 1'000'000;
  message.mStoreRevision = { kMaxStoreEpoch, 1'000'000'000'000 };
  AddPrefillReports(message, set, cursor);
  CrashSuspects suspects = MakeSuspects(50);
  message.mCrashes = MakeCrashReport(suspects, 2000000);
  message.mCrashes.mCrashes.assign(16, { 0xffffffffffffffffU, 10000 });
  for (int i = 0; i < 10; ++i) {
    constexpr std::int64_t kLarge = 1'000'000'000'000;
    message.mShifts[std::string(31, 's') + std::to_string(i)] = {
      { kMaxStoreEpoch, kLarge },
      100'000,
      { kLarge, kLarge, kLarge, 100'000, kLarge, kLarge }
    };
  }
  message.mLiveAddresses.assign(12, "255.255.255.255");
  BOOST_TEST(message.mCrashes.mSuspects.size() >= 4U);
  BOOST_TEST(EncodePeerMessage(message).size() <= kMaxPeerDatagramBytes);
}

BOOST_AUTO_TEST_SUITE_END()
