#include "savory/core/shutdown.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(shutdown)

// Guards against requests that are cut without an answer at the end of the
// grace, whatever its length.
BOOST_AUTO_TEST_CASE(callers_are_told_before_the_kill)
{
  for (TimeMs graceMs : { 500, 1000, 2000, 4000, 8000, 30000, 120000 }) {
    ShutdownPlan plan = MakeShutdownPlan(graceMs);
    BOOST_TEST(plan.mAbandonMs >= graceMs * 5 / 6);
    BOOST_TEST(plan.mExitMs > plan.mAbandonMs);
    BOOST_TEST(plan.mExitMs < graceMs);
    BOOST_TEST(plan.mLastAdmissionMs <= plan.mAbandonMs);
    BOOST_TEST(plan.mCloseIdleMs <= plan.mLastAdmissionMs);
  }
}

// Guards against a request that may not be repeated and is cut at the end: it
// is refused unless its longest time fits.
BOOST_AUTO_TEST_CASE(non_repeatable_request_ends_before_the_stop)
{
  for (TimeMs graceMs : { 1000, 2000, 4000, 8000, 30000 }) {
    ShutdownPlan plan = MakeShutdownPlan(graceMs);
    for (TimeMs arrivalMs = 0; arrivalMs < graceMs; arrivalMs += 50) {
      for (TimeMs limitMs : { 60, 300, 2000, 10000 }) {
        LateRequest request{ arrivalMs, limitMs, limitMs / 4, false };
        if (AdmitsDuringShutdown(plan, request)) {
          BOOST_TEST(arrivalMs + limitMs <= plan.mAbandonMs);
        }
      }
    }
  }
}

// Load: callers whose connections the platform still routes to a host that
// stops. Guards against refusals of what can be answered well within the grace.
BOOST_AUTO_TEST_CASE(routed_requests_are_served)
{
  ShutdownPlan plan = MakeShutdownPlan(8000);
  for (TimeMs arrivalMs = 0; arrivalMs <= plan.mCloseIdleMs; arrivalMs += 50) {
    BOOST_TEST(AdmitsDuringShutdown(plan, { arrivalMs, 2000, 300, false }));
    BOOST_TEST(AdmitsDuringShutdown(plan, { arrivalMs, 10000, 2000, true }));
  }
  BOOST_TEST(!AdmitsDuringShutdown(plan, { 0, 10000, 2000, false }));
  // A route without a latency goal.
  BOOST_TEST(!AdmitsDuringShutdown(plan, { 0, 10000, 0, true }));
  BOOST_TEST(AdmitsDuringShutdown(plan, { 0, 2000, 0, true }));
  BOOST_TEST(!AdmitsDuringShutdown(plan, { 3000, 60, 30, false }));
}

BOOST_AUTO_TEST_SUITE_END()
