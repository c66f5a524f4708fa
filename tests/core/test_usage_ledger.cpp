#include "savory/core/peer_message.h"
#include "savory/core/true_time.h"
#include "savory/core/usage_ledger.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace savory;

namespace {

// Within window 1000.
constexpr TimeMs kNowMs = 5'001'000;

UsageLedger
MakeLedger(const std::string& aHost)
{
  UsageLedger ledger;
  ledger.mSelf = { aHost, 1 };
  AdvanceLedger(ledger, kNowMs);
  return ledger;
}

UsageCounts
SealAt(UsageLedger& aLedger, TimeMs aMs)
{
  auto seals = MakeSeals(aLedger, 1, aMs);
  return seals.empty() ? UsageCounts{} : seals.front().mCounts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_ledger)

// Guards against totals that are added twice when a message is repeated or
// arrives out of order, and against a restarted host whose earlier counts are
// lost.
BOOST_AUTO_TEST_CASE(repeated_totals_count_once)
{
  UsageLedger ledger = MakeLedger("a");
  CountUsage(ledger, "x", kNowMs);
  for (std::int64_t total : { 3, 5, 4, 5 }) {
    MergeUsage(ledger, { "b", 1 }, { 1000, { { "x", total } } }, kNowMs);
  }
  MergeUsage(ledger, { "b", 2 }, { 1000, { { "x", 2 } } }, kNowMs);
  MergeUsage(ledger, { "a", 1 }, { 1000, { { "x", 50 } } }, kNowMs);
  BOOST_TEST(SealAt(ledger, kNowMs + 8000).at("x") == 8);
}

// Guards against counts that a single lost message loses, and against hosts
// that are told of a window again after it is sealed.
BOOST_AUTO_TEST_CASE(changes_are_sent_again)
{
  UsageLedger ledger = MakeLedger("a");
  CountUsage(ledger, "x", kNowMs);
  auto send = [&](TimeMs aMs) {
    auto rows = ExtractUsageToSend(ledger, 2048, aMs);
    return rows.empty() ? 0 : rows.front().mTotals.at("x");
  };
  BOOST_TEST(send(kNowMs) == 1);
  BOOST_TEST(send(kNowMs + 300) == 1);
  BOOST_TEST(send(kNowMs + 600) == 0);
  BOOST_TEST(send(kNowMs + 4100) == 1);
  BOOST_TEST(send(kNowMs + 4400) == 0);
  BOOST_TEST(send(kNowMs + 7100) == 1);
  OnSealSeen(ledger, { 1000, { { "x", 1 } }, 7 });
  BOOST_TEST(send(kNowMs + 9900) == 0);
}

// Guards against a datagram above its bound, and against rows that never fit.
BOOST_AUTO_TEST_CASE(many_customers_are_sent_in_parts)
{
  UsageLedger sender = MakeLedger("a");
  UsageLedger receiver = MakeLedger("b");
  for (int number = 0; number < 900; ++number) {
    CountUsage(sender, "customer-" + std::to_string(number), kNowMs);
  }
  for (int message = 0; message < 30; ++message) {
    PeerMessage datagram;
    datagram.mUsage = { 0,
                        1,
                        ExtractUsageToSend(sender, kMaxUsageBytes, kNowMs) };
    std::string bytes = EncodePeerMessage(datagram);
    BOOST_TEST(bytes.size() < kMaxUsageBytes + 200);
    auto read = DecodePeerMessage(bytes);
    BOOST_REQUIRE(read);
    for (const UsageTotals& row : read->mUsage->mTotals) {
      MergeUsage(receiver, sender.mSelf, row, kNowMs);
    }
  }
  BOOST_TEST(SealAt(receiver, kNowMs + 8000).size() == 900U);
  for (int number = 900; number < 2100; ++number) {
    CountUsage(sender, "customer-" + std::to_string(number), kNowMs);
  }
  BOOST_TEST(SealAt(sender, kNowMs + 8000).size() == kMaxReportedCustomers);
  BOOST_TEST(sender.mOmittedCustomers == 100);
}

// Guards against beacons of deployments without the duty that change.
BOOST_AUTO_TEST_CASE(messages_without_the_duty_are_as_before)
{
  std::string plain = EncodePeerMessage({});
  PeerMessage message;
  message.mUsage = PeerMessage::UsageReport{};
  BOOST_TEST(EncodePeerMessage(message) != plain);
  BOOST_TEST(!DecodePeerMessage(plain)->mUsage);
}

// Guards against malformed or hostile totals that fill memory or overflow sums.
BOOST_AUTO_TEST_CASE(odd_totals_are_ignored)
{
  UsageLedger ledger = MakeLedger("a");
  for (std::int64_t window : { -5L, 3L, 1002L, 1L << 60 }) {
    MergeUsage(ledger, { "b", 1 }, { window, { { "x", 1 } } }, kNowMs);
  }
  BOOST_TEST(ledger.mWindows.empty());
  for (std::int64_t total : { -1L, 1L << 62 }) {
    MergeUsage(ledger, { "b", 1 }, { 1000, { { "x", total } } }, kNowMs);
  }
  BOOST_TEST(SealAt(ledger, kNowMs + 8000)["x"] == 0);
  // A name that is not UTF-8 cannot be written to the store.
  PeerMessage message;
  message.mUsage = { 0, 1, { { 1000, { { "\xff", 1 } } } } };
  BOOST_TEST(!DecodePeerMessage(EncodePeerMessage(message)));
  TrueTime time;
  for (TimeMs wall : { std::numeric_limits<TimeMs>::min(),
                       std::numeric_limits<TimeMs>::max() }) {
    OnPeerClock(time, "b", wall, 5);
  }
  BOOST_TEST(time.mPeers.empty());
}

// Guards against counts that are added to a sealed window: the seal stays, and
// what it lacks is known.
BOOST_AUTO_TEST_CASE(late_counts_are_known_and_not_added)
{
  UsageLedger ledger = MakeLedger("a");
  CountUsage(ledger, "x", kNowMs);
  OnSealSeen(ledger, { 1000, { { "x", 1 } }, 7 });
  MergeUsage(ledger, { "b", 1 }, { 1000, { { "x", 4 } } }, kNowMs + 8000);
  BOOST_TEST(ExtractLateCounts(ledger) == 4);
  CountUsage(ledger, "x", kNowMs);
  BOOST_TEST(ExtractLateCounts(ledger) == 1);
  BOOST_TEST(NextToReport(ledger)->mCounts.at("x") == 1);
  OnReported(ledger, 1000);
  BOOST_TEST(!NextToReport(ledger));
}

// Guards against a report of one of two different seals, of which the other may
// have been reported before the store was restored.
BOOST_AUTO_TEST_CASE(different_seals_are_not_reported)
{
  UsageLedger ledger = MakeLedger("a");
  OnSealSeen(ledger, { 1000, { { "x", 1 } }, 7 });
  OnUsageStoreRestored(ledger, kNowMs + 8000);
  BOOST_TEST(!NextToReport(ledger));
  BOOST_TEST(SealAt(ledger, kNowMs + 8000).at("x") == 1);
  OnSealSeen(ledger, { 1000, { { "x", 2 } }, 5 });
  BOOST_TEST(!NextToReport(ledger));
}

// Guards against a process that started after a restore of the store and seals
// windows before its start with counts that it does not know.
BOOST_AUTO_TEST_CASE(windows_before_the_start_need_counts)
{
  UsageLedger ledger = MakeLedger("a");
  MergeUsage(ledger, { "b", 1 }, { 998, { { "x", 4 } } }, kNowMs);
  auto seals = MakeSeals(ledger, 9, kNowMs + 8000);
  BOOST_REQUIRE(seals.size() == 2U);
  BOOST_TEST(seals[0].mWindow == 998);
  BOOST_TEST(seals[1].mWindow == 1000);
}

// Guards against one clock that shifts the estimate, for a host alone and with
// peers, and against one that starts wrong and stays so.
BOOST_AUTO_TEST_CASE(no_single_clock_shifts_true_time)
{
  TrueTime alone;
  UpdateTrueTime(alone, kNowMs, 0);
  BOOST_TEST(UpdateTrueTime(alone, kNowMs + 9000, 6000) == kNowMs + 6000);
  for (TimeMs jump : { 3000, -3000 }) {
    TrueTime time;
    TimeMs estimate = 0;
    for (TimeMs boot = 0; boot < 10000; boot += 300) {
      OnPeerClock(time, "b", kNowMs + boot, boot);
      OnPeerClock(time, "c", kNowMs + boot - 4, boot);
      estimate = UpdateTrueTime(time, kNowMs + boot + jump, boot) - boot;
    }
    BOOST_TEST(std::abs(estimate - kNowMs) < 10);
  }
}

BOOST_AUTO_TEST_SUITE_END()
