#include "savory/core/limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace savory;

namespace {

std::vector<Customer>
MakeCustomers(double aRate = 0)
{
  std::vector<Customer> customers(2);
  customers[0].mName = "steady";
  customers[1].mName = "greedy";
  for (auto& customer : customers) {
    customer.mTokensPerSecond = aRate;
  }
  return customers;
}

std::vector<Limits>
MakeEntries(int aCount, const LimitsOptions& aOptions, double aRate = 0)
{
  std::vector<Limits> entries(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    auto& entry = entries[static_cast<std::size_t>(i)];
    entry.mEntry = "entry-" + std::to_string(i);
    ApplyCustomers(entry, aOptions, MakeCustomers(aRate), 0);
  }
  return entries;
}

void
Exchange(std::vector<Limits>& aEntries,
         const LimitsOptions& aOptions,
         TimeMs aNowMs)
{
  for (auto& from : aEntries) {
    auto row = MakeDemandRow(from, aOptions, aNowMs);
    for (auto& to : aEntries) {
      MergeDemand(to, aOptions, row, aNowMs);
    }
  }
}

// The share of the capacity that the steady customer gets at one entry while
// the greedy customer resends 100 times a second at another.
double
SteadyShare(const LimitsOptions& aOptions)
{
  auto entries = MakeEntries(2, aOptions);
  std::mt19937_64 random(3);
  Preset preset;
  double steady = 0;
  double all = 0;
  std::uint64_t next = 1;
  for (TimeMs now = 0; now < 60000; now += 10) {
    auto offer = [&](std::size_t aEntry,
                     const char* aCustomer,
                     std::uint64_t aFingerprint) {
      if (CheckArrival(entries[aEntry],
                       aOptions,
                       aCustomer,
                       aFingerprint,
                       100,
                       preset,
                       true,
                       now)
            .mAllowed) {
        Enqueue(entries[aEntry],
                aOptions,
                aCustomer,
                { std::to_string(next++), 100, now + 5000 },
                now);
      }
    };
    if (now % 50 == 0) {
      offer(0, "steady", random());
    }
    offer(1, "greedy", random());
    offer(1, "greedy", 42);
    // The entries compete for a capacity of ten requests a second; the entry
    // with the greedy customer asks first four times out of five.
    if (now % 100 == 0) {
      std::size_t first = random() % 5 == 0 ? 0 : 1;
      for (std::size_t i : { first, 1 - first }) {
        if (auto dequeued = DequeueNext(entries[i], aOptions, now)) {
          steady += dequeued->mCustomer == "steady" ? 1 : 0;
          all += 1;
          break;
        }
      }
    }
    for (auto& entry : entries) {
      RemoveExpired(entry, now);
    }
    if (now % 500 == 0) {
      Exchange(entries, aOptions, now);
    }
  }
  return steady / all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

// Guards against a customer that retries without pause at one entry and so gets
// the share of a customer at another entry. Without fair queueing and the retry
// budget this must happen.
BOOST_AUTO_TEST_CASE(greedy_customer_cannot_exceed_its_fair_share)
{
  BOOST_TEST(std::abs(SteadyShare({}) - 0.5) < 0.05);
  LimitsOptions without;
  without.mUseFairQueue = false;
  without.mUseRetryBudget = false;
  BOOST_TEST(SteadyShare(without) < 0.4);
}

// Guards against retries beyond the budget of 10% of the successes and 3 a
// second over all entries.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
  LimitsOptions options;
  auto entries = MakeEntries(3, options);
  Preset preset;
  int retries = 0;
  int successes = 0;
  for (TimeMs now = 0; now < 30000; now += 10) {
    auto& entry = entries[static_cast<std::size_t>(now / 10) % 3];
    auto decision =
      CheckArrival(entry, options, "greedy", 5, 100, preset, false, now);
    retries += decision.mAllowed && decision.mIsRetry;
    if (!decision.mAllowed) {
      BOOST_TEST((decision.mCode == ErrorCode::RetryBudget));
      BOOST_TEST(decision.mRetryAfterMs > 0);
    }
    if (now % 100 == 0) {
      OnAnswered(entry, options, "greedy", 1000 + successes++, now);
    }
    if (now % 500 == 0) {
      Exchange(entries, options, now);
    }
  }
  double budget = 0.1 * successes + 3 * 30 + 3 * options.mRetryBurst;
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries <= budget * 1.1);
}

// Guards against counting a request as a retry when it is sent again after it
// was answered.
BOOST_AUTO_TEST_CASE(resending_an_answered_request_is_no_retry)
{
  LimitsOptions options;
  auto entries = MakeEntries(1, options);
  Preset preset;
  for (TimeMs now = 0; now < 1000; now += 10) {
    auto decision =
      CheckArrival(entries[0], options, "steady", 5, 1, preset, false, now);
    BOOST_TEST(decision.mAllowed);
    BOOST_TEST(!decision.mIsRetry);
    OnAnswered(entries[0], options, "steady", 5, now);
  }
}

// Guards against a customer that gets its full rate at every entry, and against
// one that gets less than its rate because it uses only one entry.
BOOST_AUTO_TEST_CASE(rate_limit_holds_over_all_entries)
{
  for (std::size_t used : { 1U, 4U }) {
    LimitsOptions options;
    auto entries = MakeEntries(4, options, 1000);
    Preset preset;
    double tokens = 0;
    std::uint64_t fingerprint = 1;
    Exchange(entries, options, 0);
    for (TimeMs now = 0; now < 100000; now += 10) {
      auto& entry = entries[static_cast<std::size_t>(now / 10) % used];
      if (CheckArrival(
            entry, options, "greedy", fingerprint++, 50, preset, false, now)
            .mAllowed) {
        tokens += 50;
      }
      if (now % 500 == 0) {
        Exchange(entries, options, now);
      }
    }
    BOOST_TEST(tokens / 100 < 1000 * 1.1);
    BOOST_TEST(tokens / 100 > 1000 * 0.85);
  }
}

// Guards against shedding the wrong customers, or any without overload.
BOOST_AUTO_TEST_CASE(preset_sheds_low_priorities_under_overload_only)
{
  LimitsOptions options;
  Limits entry;
  auto customers = MakeCustomers();
  customers[0].mPriority = 2;
  ApplyCustomers(entry, options, customers, 0);
  Preset peak;
  peak.mShedBelowPriority = 2;
  auto allowed = [&](const char* aCustomer, bool aOverloaded) {
    static std::uint64_t fingerprint = 1;
    return CheckArrival(
             entry, options, aCustomer, ++fingerprint, 1, peak, aOverloaded, 0)
      .mAllowed;
  };
  BOOST_TEST(allowed("greedy", false));
  BOOST_TEST(!allowed("greedy", true));
  BOOST_TEST(allowed("steady", true));
  BOOST_TEST(!allowed("unknown", false));
}

// Guards against an older row that replaces a newer one, and against memory
// that grows with the number of fingerprints.
BOOST_AUTO_TEST_CASE(gossip_keeps_the_newest_and_memory_is_bounded)
{
  LimitsOptions options;
  options.mMaxFingerprints = 1000;
  auto entries = MakeEntries(2, options);
  auto old = MakeDemandRow(entries[0], options, 0);
  auto fresh = MakeDemandRow(entries[0], options, 0);
  BOOST_TEST(MergeDemand(entries[1], options, fresh, 0));
  BOOST_TEST(!MergeDemand(entries[1], options, old, 0));
  BOOST_TEST(!MergeDemand(entries[0], options, fresh, 0));
  Preset preset;
  for (std::uint64_t i = 0; i < 10000; ++i) {
    CheckArrival(entries[0], options, "steady", i, 1, preset, false, 0);
  }
  BOOST_TEST(entries[0].mFingerprints.size() +
               entries[0].mOlderFingerprints.size() <=
             1000U);
}

BOOST_AUTO_TEST_SUITE_END()
