#include "savory/core/model_choice.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(model_choice)

// Guards against answers that doubt themselves and are kept, and against ones
// that are dropped although the larger model would be late or the pool is full.
BOOST_AUTO_TEST_CASE(larger_model_is_asked_when_it_pays)
{
  struct Row
  {
    const char* mName;
    EscalationInput mInput;
    bool mEscalates;
  };
  for (const Row& row : {
         Row{ "in doubt, idle", { 30, 100, 300, 2000, 0 }, true },
         Row{ "sure, idle", { 90, 100, 300, 2000, 0 }, false },
         Row{ "in doubt, would be late", { 30, 100, 1900, 2000, 0 }, false },
         Row{ "in doubt, little time left", { 30, 1700, 300, 2000, 0 }, false },
         Row{ "some doubt, prompts wait", { 40, 100, 300, 2000, 1500 }, false },
         Row{ "no idea, prompts wait", { 5, 100, 300, 2000, 1500 }, true },
       }) {
    BOOST_TEST(ShouldEscalate(row.mInput) == row.mEscalates, row.mName);
  }
}

// Guards against speeds that stay wrong on a short day: a first guess that is
// off by three times must be right within two dozen answers.
BOOST_AUTO_TEST_CASE(speed_is_learned_from_few_answers)
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

// Guards against one stalled runner that distorts the speed of a model.
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
