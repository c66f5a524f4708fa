#include "savory/core/completion_forecast.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace savory;

namespace {

// 200 tokens of 10 ms after a first event at 300 ms.
CompletionForecast
MakeForecast()
{
  return { 300, 0.6, 200, 0, 0.7, 0, 10 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(completion_forecast)

// Guards against a forecast of the first event alone, which made streams start
// in time and end at their deadlines.
BOOST_AUTO_TEST_CASE(forecast_covers_the_whole_answer)
{
  CompletionForecast forecast = MakeForecast();
  BOOST_TEST(EstimateEndMs(forecast, 0.5) == 2300,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(EstimateEndMs(forecast, 0.1) < 1200);
  BOOST_TEST(EstimateEndMs(forecast, 0.9) > 4500);
  forecast.mStreamedTokens = 100;
  BOOST_TEST(EstimateEndMs(forecast, 0.5) < 2000);
  forecast = MakeForecast();
  forecast.mMaxTokens = 150;
  BOOST_TEST(EstimateEndMs(forecast, 0.9) < 300 * 2.2 + 150 * 10 * 1.3);
}

// Guards against quantiles and chances that disagree, which would refuse what
// another rule places.
BOOST_AUTO_TEST_CASE(chance_is_the_inverse_of_the_quantile)
{
  CompletionForecast forecast = MakeForecast();
  for (double streamed : { 0.0, 50.0, 400.0 }) {
    forecast.mStreamedTokens = streamed;
    double lastMs = 0;
    for (double quantile : { 0.1, 0.3, 0.5, 0.9 }) {
      double endMs = EstimateEndMs(forecast, quantile);
      BOOST_TEST(endMs > lastMs);
      BOOST_TEST(std::abs(EndChance(forecast, endMs) - quantile) < 0.01);
      lastMs = endMs;
    }
  }
  BOOST_TEST(EndChance(forecast, -1) < 0.01);
  BOOST_TEST(FirstEventChance(forecast, 300) == 0.5,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(FirstEventChance(forecast, 0) == 0);
}

// Guards against a pace that is taken from a full batch for an empty one, and
// against one or two streams that decide.
BOOST_AUTO_TEST_CASE(pace_accounts_for_the_batch)
{
  TokenPace pace;
  StreamProgress progress{ 11, 1000, 1000 + 10 * 4 * 10 };
  OnStreamObserved(pace, progress, 4, 100);
  OnStreamObserved(pace, progress, 4, 100);
  BOOST_TEST(EstimateMsPerToken(pace, 100) == 0);
  OnStreamObserved(pace, progress, 4, 100);
  OnStreamObserved(pace, { 2, 0, 5000 }, 4, 100);
  BOOST_TEST(EstimateMsPerToken(pace, 100) == 10,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(EstimateMsPerToken(pace, 1) < 5);
}

// Guards against lengths that are unknown where the caller gives no estimate,
// and against a spread that is learned from a few answers.
BOOST_AUTO_TEST_CASE(lengths_come_from_the_caller_or_the_route)
{
  AnswerLengths lengths;
  BOOST_TEST(EstimateAnswerTokens(lengths, 0, 500) == 0);
  BOOST_TEST(EstimateAnswerTokens(lengths, 120, 500) == 120);
  BOOST_TEST(EstimateAnswerTokens(lengths, 900, 500) == 500);
  BOOST_TEST(StandardDeviation(lengths.mHintError, kLengthBounds) ==
             kLengthBounds.mInitial);
  for (int i = 0; i < 40; ++i) {
    OnAnswerLength(lengths, 100, i % 2 == 0 ? 50 : 200);
  }
  BOOST_TEST(EstimateAnswerTokens(lengths, 0, 0) == 100,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(StandardDeviation(lengths.mHintError, kLengthBounds) ==
               std::log(2.0),
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
