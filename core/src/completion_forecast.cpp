#include "savory/core/completion_forecast.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace savory {

namespace {

// Observations before a learned spread replaces the initial one, and the weight
// of one afterwards.
constexpr int kMinSpreadCount = 20;
constexpr double kSpreadWeight = 0.03;

// Bound of the usual ratio and of its inverse.
constexpr double kMaxRatio = 3;

// Events of a stream before its pace counts, and the weight of one stream.
constexpr int kMinPaceEvents = 4;
constexpr double kPaceWeight = 0.1;

// Part of a token's time alone that each running request adds to it. A decode
// step was measured as 3.55 ms plus 0.046 ms for each request.
constexpr double kRunningShare = 0.013;

// Streams before a pace, and answers before a route's usual length, is used.
constexpr int kMinPaceStreams = 3;
constexpr int kMinLengths = 5;
constexpr double kLengthWeight = 0.05;

// Deviation of the logarithm of the time per token: the batch changes while an
// answer runs.
constexpr double kPaceDeviation = 0.2;

// Probabilities outside of these bounds are not told apart.
constexpr double kMinChance = 0.001;
constexpr int kBisections = 12;

const boost::math::normal kNormal;

double
Deviate(double aQuantile)
{
  return boost::math::quantile(
    kNormal, std::clamp(aQuantile, kMinChance, 1 - kMinChance));
}

// The quantile of the tokens that are still to come, given how many have come.
double
EstimateRemainingTokens(const CompletionForecast& aForecast, double aQuantile)
{
  if (aForecast.mTokens <= 0) {
    return 0;
  }
  double quantile = aQuantile;
  if (aForecast.mStreamedTokens > 0 && aForecast.mLengthDeviation > 0) {
    // Only lengths above the streamed tokens are possible.
    double passed =
      boost::math::cdf(kNormal,
                       std::log(aForecast.mStreamedTokens / aForecast.mTokens) /
                         aForecast.mLengthDeviation);
    quantile = passed + (1 - passed) * aQuantile;
  }
  double tokens = aForecast.mTokens *
                  std::exp(aForecast.mLengthDeviation * Deviate(quantile));
  if (aForecast.mMaxTokens > 0) {
    tokens = std::min(tokens, aForecast.mMaxTokens);
  }
  return std::max(0.0, tokens - aForecast.mStreamedTokens);
}

} // namespace

void
OnObserved(LogSpread& aSpread, double aExpected, double aObserved)
{
  if (aExpected <= 0 || aObserved <= 0) {
    return;
  }
  double error = std::log(aObserved / aExpected);
  ++aSpread.mCount;
  double weight = std::max(kSpreadWeight, 1.0 / aSpread.mCount);
  aSpread.mMean += weight * (error - aSpread.mMean);
  aSpread.mMeanSquare += weight * (error * error - aSpread.mMeanSquare);
}

double
UsualRatio(const LogSpread& aSpread)
{
  return aSpread.mCount < kMinSpreadCount
           ? 1
           : std::clamp(std::exp(aSpread.mMean), 1 / kMaxRatio, kMaxRatio);
}

double
StandardDeviation(const LogSpread& aSpread, const SpreadBounds& aBounds)
{
  return aSpread.mCount < kMinSpreadCount
           ? aBounds.mInitial
           : std::clamp(
               std::sqrt(std::max(
                 0.0, aSpread.mMeanSquare - aSpread.mMean * aSpread.mMean)),
               aBounds.mMin,
               aBounds.mMax);
}

void
OnStreamObserved(TokenPace& aPace,
                 const StreamProgress& aProgress,
                 int aTokensPerEvent,
                 int aRunning)
{
  if (aProgress.mEvents < kMinPaceEvents) {
    return;
  }
  double tokens =
    (aProgress.mEvents - 1) * static_cast<double>(std::max(1, aTokensPerEvent));
  double msPerToken =
    static_cast<double>(aProgress.mLastEventMs - aProgress.mFirstEventMs) /
    tokens;
  double alone = msPerToken / (1 + kRunningShare * std::max(0, aRunning));
  ++aPace.mStreams;
  double weight = std::max(kPaceWeight, 1.0 / aPace.mStreams);
  aPace.mAloneMsPerToken += weight * (alone - aPace.mAloneMsPerToken);
}

double
EstimateMsPerToken(const TokenPace& aPace, int aRunning)
{
  return aPace.mStreams < kMinPaceStreams
           ? 0
           : aPace.mAloneMsPerToken *
               (1 + kRunningShare * std::max(0, aRunning));
}

void
OnAnswerLength(AnswerLengths& aLengths, double aHintTokens, double aTokens)
{
  if (aTokens <= 0) {
    return;
  }
  OnObserved(aLengths.mHintError, aHintTokens, aTokens);
  ++aLengths.mAnswers;
  double weight = std::max(kLengthWeight, 1.0 / aLengths.mAnswers);
  aLengths.mMeanLogTokens +=
    weight * (std::log(aTokens) - aLengths.mMeanLogTokens);
}

double
EstimateAnswerTokens(const AnswerLengths& aLengths,
                     double aHintTokens,
                     double aMaxTokens)
{
  double tokens = aHintTokens;
  if (tokens <= 0 && aLengths.mAnswers >= kMinLengths) {
    tokens = std::exp(aLengths.mMeanLogTokens);
  }
  return aMaxTokens > 0 ? std::min(tokens, aMaxTokens) : std::max(0.0, tokens);
}

double
EstimateEndMs(const CompletionForecast& aForecast, double aQuantile)
{
  double deviate = Deviate(aQuantile);
  double firstMs = aForecast.mFirstEventMs *
                   std::exp(aForecast.mFirstEventDeviation * deviate);
  double msPerToken =
    aForecast.mMsPerToken * std::exp(kPaceDeviation * deviate);
  return firstMs + EstimateRemainingTokens(aForecast, aQuantile) * msPerToken;
}

double
EndChance(const CompletionForecast& aForecast, double aLimitMs)
{
  double low = 0;
  double high = 1;
  for (int i = 0; i < kBisections; ++i) {
    double middle = (low + high) / 2;
    (EstimateEndMs(aForecast, middle) <= aLimitMs ? low : high) = middle;
  }
  return (low + high) / 2;
}

double
FirstEventChance(const CompletionForecast& aForecast, double aLimitMs)
{
  if (aLimitMs <= 0 || aForecast.mFirstEventMs <= 0) {
    return aLimitMs > 0 ? 1 : 0;
  }
  double distance = std::log(aLimitMs / aForecast.mFirstEventMs);
  return boost::math::cdf(
    kNormal, distance / std::max(0.01, aForecast.mFirstEventDeviation));
}

} // namespace savory
