#include "savory/core/runner_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace savory;

BOOST_AUTO_TEST_SUITE(runner_speed)

// Guards against a learned speed that follows a runner's slow spells: the
// runner works at 1.7 times the usual time, and at 2.5 times that in spells.
BOOST_AUTO_TEST_CASE(spells_do_not_enter_the_learned_speed)
{
  RunnerSpeed speed;
  std::mt19937 random(1);
  std::uniform_real_distribution<double> uniform(0.8, 1.25);
  BOOST_TEST(SpeedFactor(speed, 0) == 1);
  for (int answer = 0; answer < 20; ++answer) {
    double slowdown = answer % 4 == 0 ? 2.5 : 1;
    double observedMs = 100 * 1.7 * slowdown * uniform(random);
    LearnSpeed(speed, { 100, observedMs, slowdown, 1 }, answer * 1000);
  }
  BOOST_TEST(std::abs(SpeedFactor(speed, 20000) - 1.7) < 0.15);
  // Without new answers the runner counts as usual again in the end.
  BOOST_TEST(std::abs(SpeedFactor(speed, 24 * 3600 * 1000) - 1) < 0.01);
}

// Guards against one answer that was stopped for long, or a figure that is no
// number, and makes a runner unusable.
BOOST_AUTO_TEST_CASE(the_learned_speed_is_bounded)
{
  RunnerSpeed speed;
  for (int answer = 0; answer < 1000; ++answer) {
    LearnSpeed(speed, { 1, 1e9, 1, 1 }, 0);
  }
  BOOST_TEST(SpeedFactor(speed, 0) <= 4);
  for (int answer = 0; answer < 2000; ++answer) {
    LearnSpeed(speed, { 1e9, 1, 1, 1 }, 0);
  }
  BOOST_TEST(SpeedFactor(speed, 0) >= 0.25);
  RunnerSpeed untaught;
  LearnSpeed(untaught, { 100, 0, 1, 1 }, 0);
  LearnSpeed(untaught, { 0, 100, 1, 1 }, 0);
  LearnSpeed(untaught, { 100, 100, 0, 1 }, 0);
  LearnSpeed(untaught, { 100, std::nan(""), 1, 1 }, 0);
  LearnSpeed(untaught, { 100, 400, 1, 0 }, 0);
  BOOST_TEST(SpeedFactor(untaught, 0) == 1);
}

// Guards against an old statement that keeps requests away from a runner whose
// slow spell is over.
BOOST_AUTO_TEST_CASE(statements_of_slowdown_lose_weight)
{
  BOOST_TEST(EstimateSlowdown(2.5, 1.2, 0) == 2.5);
  double last = 2.5;
  for (TimeMs age = 50; age < 900; age += 50) {
    double slowdown = EstimateSlowdown(2.5, 1.2, age);
    BOOST_TEST(slowdown < last);
    BOOST_TEST(slowdown > 1.2);
    last = slowdown;
  }
  BOOST_TEST(EstimateSlowdown(2.5, 1.2, 900) == 1.2);
  BOOST_TEST(EstimateSlowdown(0.5, 1.2, 5000) == 1.2);
}

// Guards against a decode step that is taken for the same in a batch of any
// size: steps take 3.55 ms and 0.1 ms for each request.
BOOST_AUTO_TEST_CASE(steps_are_learned_by_batch)
{
  StepSpeed step;
  // A prefill of 157 tokens per ms, before any stream was observed.
  BOOST_TEST(std::abs(EstimateTokenMs(step, 20, 1.0 / 157) - 4.47) < 1.5);
  std::mt19937 random(1);
  std::uniform_real_distribution<double> noise(0.9, 1.1);
  for (int stream = 0; stream < 200; ++stream) {
    double batch = 5 + stream % 60;
    LearnStep(step, batch, (3.55 + 0.1 * batch) * noise(random));
  }
  for (double batch : { 5, 30, 60, 100 }) {
    BOOST_TEST(std::abs(EstimateTokenMs(step, batch, 0) / (3.55 + 0.1 * batch) -
                        1) < 0.1);
  }
  // One size of batch alone gives no slope.
  StepSpeed narrow;
  LearnStep(narrow, 20, 4.5);
  BOOST_TEST(EstimateTokenMs(narrow, 40, 0) > 4.5);
  BOOST_TEST(EstimateTokenMs(narrow, 40, 0) < 6);
}

BOOST_AUTO_TEST_SUITE_END()
