#include "savory/core/attempt_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace savory;

BOOST_AUTO_TEST_SUITE(attempt_budget)

// Plays the load the budget answers: every request fails and every host sends
// again as often as it may. In no window may all hosts together exceed the
// ratio and the constant.
BOOST_AUTO_TEST_CASE(hosts_stay_within_the_shared_budget)
{
  constexpr int kHosts = 5;
  AttemptBudgetOptions options{ 0.9, 56, 10000, 0.8 };
  std::vector<AttemptBudget> hosts(kHosts);
  std::deque<TimeMs> requests;
  std::deque<TimeMs> repeats;
  for (TimeMs now = 0; now < 60000; now += 25) {
    AttemptBudget& host = hosts[static_cast<std::size_t>(now / 25) % kHosts];
    NoteRequest(host, options, "s", now);
    requests.push_back(now);
    for (int i = 0; i < 3; ++i) {
      if (TryRepeat(host, options, "s", kHosts, now)) {
        repeats.push_back(now);
      }
    }
    auto leave = [now](std::deque<TimeMs>& aTimes) {
      while (!aTimes.empty() && aTimes.front() <= now - 10000) {
        aTimes.pop_front();
      }
    };
    leave(requests);
    leave(repeats);
    BOOST_REQUIRE(static_cast<double>(repeats.size()) <=
                  0.9 * static_cast<double>(requests.size()) + 56);
  }
  BOOST_TEST(repeats.size() > requests.size() / 2);
}

// Guards against one service that uses up the budget of another.
BOOST_AUTO_TEST_CASE(services_have_budgets_of_their_own)
{
  AttemptBudgetOptions options{ 0, 5, 10000, 1 };
  AttemptBudget budget;
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(TryRepeat(budget, options, "a", 1, 0));
  }
  BOOST_TEST(!TryRepeat(budget, options, "a", 1, 0));
  BOOST_TEST(TryRepeat(budget, options, "b", 1, 0));
  BOOST_TEST(TryRepeat(budget, options, "a", 1, 20000));
}

BOOST_AUTO_TEST_SUITE_END()
