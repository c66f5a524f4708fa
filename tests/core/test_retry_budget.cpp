#include "savory/core/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace savory;

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against more retries than the shared budget when every request fails
// and every host retries as often as it may. In no window may all hosts
// together exceed the ratio plus the constant.
BOOST_AUTO_TEST_CASE(hosts_stay_within_the_shared_budget)
{
  constexpr int kHosts = 5;
  RetryBudgetOptions options{ 0.9, 56, 10000, 0.8 };
  std::vector<RetryBudget> hosts(kHosts);
  std::deque<TimeMs> requests;
  std::deque<TimeMs> retries;
  for (TimeMs now = 0; now < 60000; now += 25) {
    RetryBudget& host = hosts[static_cast<std::size_t>(now / 25) % kHosts];
    OnRequestArrived(host, options, "s", now);
    requests.push_back(now);
    for (int i = 0; i < 3; ++i) {
      if (TryAcquireRetry(host, options, "s", kHosts, now)) {
        retries.push_back(now);
      }
    }
    auto dropOld = [now](std::deque<TimeMs>& aTimes) {
      while (!aTimes.empty() && aTimes.front() <= now - 10000) {
        aTimes.pop_front();
      }
    };
    dropOld(requests);
    dropOld(retries);
    BOOST_REQUIRE(static_cast<double>(retries.size()) <=
                  0.9 * static_cast<double>(requests.size()) + 56);
  }
  BOOST_TEST(retries.size() > requests.size() / 2);
}

// Guards against one service that exhausts the budget of another.
BOOST_AUTO_TEST_CASE(services_have_separate_budgets)
{
  RetryBudgetOptions options{ 0, 5, 10000, 1 };
  RetryBudget budget;
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(TryAcquireRetry(budget, options, "a", 1, 0));
  }
  BOOST_TEST(!TryAcquireRetry(budget, options, "a", 1, 0));
  BOOST_TEST(TryAcquireRetry(budget, options, "b", 1, 0));
  BOOST_TEST(TryAcquireRetry(budget, options, "a", 1, 20000));
}

BOOST_AUTO_TEST_SUITE_END()
