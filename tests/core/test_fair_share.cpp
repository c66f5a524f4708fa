#include "savory/core/fair_share.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace savory;

BOOST_AUTO_TEST_SUITE(fair_share)

// Guards against a less urgent request that is served before a more urgent one,
// whatever their sizes and customers.
RC_BOOST_PROP(less_urgent_requests_never_come_first, ())
{
  auto count = *rc::gen::inRange(1, 14);
  auto urgent = *rc::gen::inRange(0, count);
  auto other = *rc::gen::inRange(urgent, count);
  auto make = [](int aRank) {
    return RequestUrgency{ aRank,
                           *rc::gen::arbitrary<bool>(),
                           *rc::gen::arbitrary<bool>() };
  };
  int first = EnginePriority(count, make(urgent));
  int second = EnginePriority(count, make(other));
  RC_ASSERT(first >= 0);
  RC_ASSERT(second <= 9);
  if (other > urgent) {
    RC_ASSERT(first <= second);
    RC_ASSERT(count > 9 || first < second);
  }
}

// Guards against small customers that yield to large ones.
RC_BOOST_PROP(customers_below_an_equal_share_never_yield, ())
{
  CustomerShares shares;
  auto works = *rc::gen::nonEmpty<std::vector<std::uint16_t>>();
  double total = 0;
  for (std::size_t i = 0; i < works.size(); ++i) {
    OnWorkSent(shares, std::to_string(i), works[i], 1000);
    total += works[i];
  }
  double equal = total / static_cast<double>(works.size());
  for (std::size_t i = 0; i < works.size(); ++i) {
    if (works[i] <= equal) {
      RC_ASSERT(!IsOverShare(shares, std::to_string(i), 1000));
    }
  }
}

// Guards against a customer whose surge takes the engine time of the others,
// and against one that is held to its past after the surge.
BOOST_AUTO_TEST_CASE(surge_yields_until_it_is_over)
{
  CustomerShares shares;
  TimeMs now = 0;
  auto run = [&](TimeMs aForMs, double aSurgeMs) {
    for (TimeMs end = now + aForMs; now < end; now += 100) {
      for (const char* name : { "a", "b", "c" }) {
        OnWorkSent(shares, name, 10, now);
      }
      OnWorkSent(shares, "surge", aSurgeMs, now);
    }
  };
  run(60000, 10);
  BOOST_TEST(!IsOverShare(shares, "surge", now));
  run(5000, 100);
  BOOST_TEST(IsOverShare(shares, "surge", now));
  BOOST_TEST(!IsOverShare(shares, "a", now));
  run(30000, 10);
  BOOST_TEST(!IsOverShare(shares, "surge", now));
}

// Guards against a customer's priority that is ignored, and against the state
// that grows with the number of customers.
BOOST_AUTO_TEST_CASE(priorities_and_customers_are_listed)
{
  RouteTable table;
  Route route;
  route.mTargets = { { "llm", 1 } };
  route.mPriority = 4;
  Route other;
  other.mTargets = { { "desk", 1 } };
  other.mPriority = 2;
  table.mRoutes["h"] = { std::make_shared<const Route>(route),
                         std::make_shared<const Route>(other) };
  table.mKeys["k"] =
    std::make_shared<const RouteCustomer>(RouteCustomer{ "c", 1 });
  table.mKeys["l"] =
    std::make_shared<const RouteCustomer>(RouteCustomer{ "d", std::nullopt });
  std::vector<int> priorities = ListPriorities(table, "llm");
  BOOST_TEST((priorities == std::vector<int>{ 1, 4 }));
  BOOST_TEST(PriorityRank(priorities, 1) == 0);
  BOOST_TEST(PriorityRank(priorities, 4) == 1);
  CustomerShares shares;
  for (std::size_t i = 0; i < kMaxShareCustomers + 10; ++i) {
    OnWorkSent(shares, std::to_string(i), 1 + static_cast<double>(i), 0);
  }
  BOOST_TEST(shares.mCustomers.size() == kMaxShareCustomers);
  BOOST_TEST(!shares.mCustomers.contains("0"));
}

BOOST_AUTO_TEST_SUITE_END()
