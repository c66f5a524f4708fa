#include "savory/core/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace savory;

namespace {

constexpr std::size_t kKib = 1024;

struct BudgetFixture
{
  ByteBudget mBudget;

  BudgetFixture()
  {
    mBudget.mOptions.mCapacityBytes = 1000 * kKib;
    mBudget.mOptions.mGuaranteedBytes = 10 * kKib;
  }
  // A holder whose request has begun and holds aBytes, of which aRemaining are
  // still to come.
  std::uint64_t Receive(const char* aClient,
                        std::size_t aBytes,
                        std::size_t aRemaining)
  {
    std::uint64_t id = AddByteHolder(mBudget, aClient);
    OnReceiveStarted(mBudget, id, 0);
    SetHeldBytes(mBudget, id, aBytes);
    OnReceived(mBudget, id, aBytes, aRemaining, 0);
    return id;
  }
  // The holders to shed at aNowMs with their reasons.
  std::map<std::uint64_t, ShedReason> Shed(TimeMs aNowMs) const
  {
    std::map<std::uint64_t, ShedReason> result;
    for (const ShedHolder& shed : FindHoldersToShed(mBudget, aNowMs)) {
      result[shed.mId] = shed.mReason;
    }
    return result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(byte_budget, BudgetFixture)

// Guards against buffers beyond the capacity, and against small requests that
// are refused because of others' large ones.
BOOST_AUTO_TEST_CASE(bytes_beyond_the_minimum_need_headroom)
{
  Receive("a", 1010 * kKib, 0);
  std::uint64_t small = AddByteHolder(mBudget, "b");
  BOOST_TEST(MayHold(mBudget, small, 10 * kKib));
  BOOST_TEST(!MayHold(mBudget, small, 11 * kKib));
}

// Guards against many requests that get stuck halfway, none of which becomes
// complete.
BOOST_AUTO_TEST_CASE(earlier_holders_get_what_they_announced)
{
  std::uint64_t first = Receive("a", 300 * kKib, 600 * kKib);
  std::uint64_t second = Receive("a", 60 * kKib, 900 * kKib);
  BOOST_TEST(!MayHold(mBudget, second, 100 * kKib));
  BOOST_TEST(MayHold(mBudget, first, 600 * kKib));
  // What is complete claims nothing.
  OnReceiveEnded(mBudget, first);
  BOOST_TEST(MayHold(mBudget, second, 100 * kKib));
}

// Guards against one address that takes the share of all others.
BOOST_AUTO_TEST_CASE(address_gets_an_equal_share_while_others_wait)
{
  std::uint64_t greedy = Receive("a", 600 * kKib, 0);
  std::uint64_t other = Receive("b", 10 * kKib, 0);
  BOOST_TEST(MayHold(mBudget, greedy, 100 * kKib));
  SetWaiting(mBudget, other, true, 0);
  BOOST_TEST(!MayHold(mBudget, greedy, 100 * kKib));
  BOOST_TEST(MayHold(mBudget, other, 100 * kKib));
  // A wait for the same address's own bytes takes nothing from anyone.
  SetWaiting(mBudget, other, false, 0);
  std::uint64_t own = Receive("a", 10 * kKib, 0);
  SetWaiting(mBudget, own, true, 0);
  BOOST_TEST(MayHold(mBudget, greedy, 100 * kKib));
}

// Guards against senders that stop short of the end and hold their bytes while
// others wait, and against those that are cut off although nobody does.
BOOST_AUTO_TEST_CASE(stalled_senders_are_shed_while_others_wait)
{
  std::uint64_t stalled = Receive("a", 500 * kKib, 1);
  std::uint64_t served = Receive("a", 500 * kKib, 0);
  OnReceiveEnded(mBudget, served);
  BOOST_TEST(Shed(2000).empty());
  std::uint64_t waiting = Receive("b", 10 * kKib, 100 * kKib);
  SetWaiting(mBudget, waiting, true, 1500);
  BOOST_TEST(Shed(900).empty());
  // Single bytes are no progress.
  OnReceived(mBudget, stalled, 1, 1, 1900);
  auto shed = Shed(2000);
  BOOST_REQUIRE(shed.size() == 1U);
  BOOST_TEST((shed.at(stalled) == ShedReason::Stalled));
}

// Guards against senders that keep a connection busy with single bytes, and
// against a caller that is cut off within the first window or while this
// process does not read.
BOOST_AUTO_TEST_CASE(senders_below_the_minimum_rate_are_shed)
{
  TimeMs window = mBudget.mOptions.mRateWindowMs;
  std::uint64_t slow = Receive("a", 1, 100);
  std::uint64_t ordinary = Receive("a", 1, 100);
  std::uint64_t paused = Receive("a", 1, 100);
  for (TimeMs now = 0; now < 2 * window; now += 1000) {
    BOOST_TEST(Shed(now).empty());
    OnReceived(mBudget, slow, 1, 100, now);
    OnReceived(mBudget, ordinary, 300, 100, now);
    OnReceived(mBudget, paused, 1, 100, now);
  }
  SetWaiting(mBudget, paused, true, 2 * window);
  auto shed = Shed(2 * window + 1);
  BOOST_TEST(shed.size() == 1U);
  BOOST_TEST((shed.count(slow) == 1U));
  SetWaiting(mBudget, paused, false, 2 * window + 2);
  BOOST_TEST(!Shed(2 * window + 3).count(paused));
  BOOST_TEST(!Shed(2 * window + 3).count(ordinary));
}

// Guards against requests that wait for each other for ever.
BOOST_AUTO_TEST_CASE(smallest_holder_of_the_largest_address_gives_way)
{
  std::uint64_t large = Receive("a", 400 * kKib, 100);
  std::uint64_t small = Receive("a", 200 * kKib, 100);
  std::uint64_t other = Receive("b", 100 * kKib, 100);
  for (std::uint64_t id : { large, small, other }) {
    SetWaiting(mBudget, id, true, 0);
  }
  BOOST_TEST(Shed(500).empty());
  auto shed = Shed(1000);
  BOOST_REQUIRE(shed.size() == 1U);
  BOOST_TEST((shed.at(small) == ShedReason::NoHeadroom));
  BOOST_TEST(Shed(mBudget.mOptions.mMaxWaitMs).size() == 3U);
}

// Guards against unread bytes in the kernel that exceed the memory.
BOOST_AUTO_TEST_CASE(number_of_waiting_holders_is_bounded)
{
  std::size_t count = 0;
  while (MayWait(mBudget)) {
    SetWaiting(mBudget, AddByteHolder(mBudget, "a"), true, 0);
    ++count;
  }
  BOOST_TEST(count == 15U);
  RemoveByteHolder(mBudget, mBudget.mHolders.begin()->first);
  BOOST_TEST(MayWait(mBudget));
}

// Guards against sums that drift from what the holders hold.
BOOST_AUTO_TEST_CASE(sums_follow_the_holders)
{
  std::uint64_t first = Receive("a", 30 * kKib, 0);
  std::uint64_t second = Receive("a", 5 * kKib, 0);
  BOOST_TEST(mBudget.mHeldBytes == 35 * kKib);
  BOOST_TEST(mBudget.mSharedBytes == 20 * kKib);
  SetHeldBytes(mBudget, first, 10 * kKib);
  BOOST_TEST(mBudget.mSharedBytes == 0U);
  SetWaiting(mBudget, second, true, 0);
  RemoveByteHolder(mBudget, first);
  RemoveByteHolder(mBudget, second);
  BOOST_TEST(mBudget.mHeldBytes == 0U);
  BOOST_TEST(mBudget.mWaitingCount == 0U);
  // Calls for a holder that has gone have no effect.
  OnReceived(mBudget, first, 1, 1, 0);
  SetHeldBytes(mBudget, first, 9);
  BOOST_TEST(mBudget.mHeldBytes == 0U);
  BOOST_TEST(!MayHold(mBudget, first, 1));
}

// Guards against limits that a small machine exceeds, and against ones that an
// installation without stated limits would meet.
BOOST_AUTO_TEST_CASE(limits_follow_from_the_machine)
{
  constexpr std::uint64_t kMib = 1024 * 1024;
  ProcessLimits small = DeriveProcessLimits(120 * kMib, 0, 3075);
  BOOST_TEST(small.mBytes.mCapacityBytes == 30 * kMib);
  BOOST_TEST(small.mMaxCallers == 2157U);
  BOOST_TEST(small.mMaxRunnerLinks == 654U);
  BOOST_TEST(small.mMaxCallers + small.mMaxRunnerLinks < 3075U - 200);
  BOOST_TEST(small.mBytes.mGuaranteedBytes * small.mMaxCallers <= 31 * kMib);
  BOOST_TEST(
    DeriveProcessLimits(120 * kMib, 50 * kMib, 0).mBytes.mCapacityBytes ==
    50 * kMib);
  ProcessLimits none = DeriveProcessLimits(0, 0, 0);
  BOOST_TEST(none.mMaxCallers == 0U);
  BOOST_TEST(none.mMaxRunnerLinks == 0U);
  BOOST_TEST(none.mBytes.mCapacityBytes == 512 * kMib);
  BOOST_TEST(DeriveProcessLimits(0, 0, 1).mMaxCallers == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
