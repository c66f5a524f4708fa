#pragma once

#include "savory/core/stream_pace.h"
#include "savory/core/types.h"

namespace savory {

// Forecast of when the whole answer of a request ends: the time to its first
// event plus the remaining tokens times the time per token. Placement looks at
// the first event alone; streams that started in time ran into their deadlines
// because nothing had compared their length with the time left.

// The natural logarithm of observed over expected values: exponentially
// weighted means of it and of its square.
struct LogSpread
{
  double mMean = 0;
  double mMeanSquare = 0;
  int mCount = 0;
};

// Adds one observation. Values that are not positive are ignored.
void
OnObserved(LogSpread& aSpread, double aExpected, double aObserved);

// The standard deviation of the logarithm: the initial value until enough was
// observed, and always within the bounds.
struct SpreadBounds
{
  double mInitial = 0;
  double mMin = 0;
  double mMax = 0;
};

double
StandardDeviation(const LogSpread& aSpread, const SpreadBounds& aBounds);

// By how much observed values usually exceed expected ones, within a factor of
// three.
double
UsualRatio(const LogSpread& aSpread);

// The time per token of one model on the engines of a service, without the part
// that the other requests of the batch add.
struct TokenPace
{
  double mAloneMsPerToken = 0;
  int mStreams = 0;
};

// Adds what a stream shows of its engine, ended or not, unless it had too few
// events. aRunning is the number of requests in the engine's batch.
void
OnStreamObserved(TokenPace& aPace,
                 const StreamProgress& aProgress,
                 int aTokensPerEvent,
                 int aRunning);

// Milliseconds per token in a batch of aRunning requests; 0 while unknown.
double
EstimateMsPerToken(const TokenPace& aPace, int aRunning);

// Answer lengths of a route, for requests without an estimate of the caller,
// and the error of those estimates.
struct AnswerLengths
{
  double mMeanLogTokens = 0;
  int mAnswers = 0;
  LogSpread mHintError;
};

// Adds a complete answer. aHintTokens is the caller's estimate, or 0.
void
OnAnswerLength(AnswerLengths& aLengths, double aHintTokens, double aTokens);

// The median of an answer's tokens: the caller's estimate, or else the route's
// usual length; 0 while neither is known. aMaxTokens limits it unless it is 0.
double
EstimateAnswerTokens(const AnswerLengths& aLengths,
                     double aHintTokens,
                     double aMaxTokens);

// What a forecast is made from. Times are milliseconds from now.
struct CompletionForecast
{
  double mFirstEventMs = 0;
  double mFirstEventDeviation = 0;
  // Median of the tokens of the whole answer, 0 for calls without a stream or
  // if it is unknown, and the limit of the tokens, 0 without one.
  double mTokens = 0;
  double mMaxTokens = 0;
  double mLengthDeviation = 0;
  // Tokens that were streamed already.
  double mStreamedTokens = 0;
  double mMsPerToken = 0;
};

// The quantile of the time to the last event, for a probability between 0 and
// 1 exclusive. All errors are taken to go the same way, which makes low
// quantiles lower and high ones higher than they are.
double
EstimateEndMs(const CompletionForecast& aForecast, double aQuantile);

// The probability that the answer ends, or starts, within aLimitMs.
double
EndChance(const CompletionForecast& aForecast, double aLimitMs);

double
FirstEventChance(const CompletionForecast& aForecast, double aLimitMs);

// Bounds of the deviations above. Lengths vary by a factor of about four around
// the estimate; the truth of short runs may look more certain than it is, as
// the answers that did not end in time are missing.
inline constexpr SpreadBounds kLengthBounds{ 0.7, 0.5, 1.0 };
inline constexpr SpreadBounds kFirstEventBounds{ 0.6, 0.3, 1.2 };

} // namespace savory
