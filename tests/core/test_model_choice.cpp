#include "savory/core/model_choice.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(model_choice)

// Guards against answers of low confidence that are kept, and against answers
// that are dropped although the larger model would be late or the pool is busy.
BOOST_AUTO_TEST_CASE(escalates_on_low_confidence_when_time_and_load_allow)
{
  struct Row
  {
    const char* mName;
    EscalationInput mInput;
    bool mEscalates;
  };
  for (const Row& row : {
         Row{ "low confidence, idle", { 30, 100, 300, 2000, 0 }, true },
         Row{ "high confidence, idle", { 90, 100, 300, 2000, 0 }, false },
         Row{ "low confidence, larger model late",
              { 30, 100, 1900, 2000, 0 },
              false },
         Row{ "low confidence, little time left",
              { 30, 1700, 300, 2000, 0 },
              false },
         Row{ "medium confidence, prompts wait",
              { 40, 100, 300, 2000, 1500 },
              false },
         Row{ "lowest confidence, prompts wait",
              { 5, 100, 300, 2000, 1500 },
              true },
       }) {
    BOOST_TEST(ShouldEscalate(row.mInput) == row.mEscalates, row.mName);
  }
}

// Guards against estimates that stay wrong during a short run: an initial
// estimate that is wrong by a factor of three must be corrected within two
// dozen answers.
BOOST_AUTO_TEST_CASE(prefill_speed_converges_within_few_answers)
{
  for (double factor : { 0.33, 3.0 }) {
    PrefillSpeed speed = InitialPrefillSpeed(0.13);
    const double truth = speed.mMsPerToken * factor;
    for (int i = 0; i < 24; ++i) {
      UpdatePrefillSpeed(speed, speed.mMsPerToken * 5000, truth * 5000);
    }
    BOOST_TEST(speed.mMsPerToken > truth * 0.75);
    BOOST_TEST(speed.mMsPerToken < truth * 1.33);
  }
}

// Guards against one stalled runner that distorts the estimate for a model.
BOOST_AUTO_TEST_CASE(one_outlier_changes_little)
{
  PrefillSpeed speed = InitialPrefillSpeed(0.13);
  for (int i = 0; i < 50; ++i) {
    UpdatePrefillSpeed(speed, 100, 100);
  }
  const double before = speed.mMsPerToken;
  UpdatePrefillSpeed(speed, 100, 100000);
  BOOST_TEST(speed.mMsPerToken < before * 1.15);
}

BOOST_AUTO_TEST_SUITE_END()
