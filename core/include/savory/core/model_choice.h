#pragma once

#include "savory/core/types.h"

#include <map>
#include <string>

namespace savory {

// Choice of the model size for requests that leave it open. The smallest model
// answers first and states a rough confidence before its first token. When the
// confidence is too low, the answer is dropped and the request escalates to the
// largest model, while the caller has not received anything yet.

// The prefill time of a model, estimated from its answers.
struct PrefillSpeed
{
  double mMsPerToken = 0.03;
  double mFixedMs = 20;
  // Number of answers in the estimate; the first ones weigh more.
  int mAnswers = 0;
};

// An initial estimate from the price of 1,000 generated tokens: larger models
// cost more and have a slower prefill.
PrefillSpeed
InitialPrefillSpeed(double aPricePerThousandTokens);

// Updates the estimate from one answer's expected and observed time to the
// first event, in milliseconds.
void
UpdatePrefillSpeed(PrefillSpeed& aSpeed,
                   double aExpectedMs,
                   double aObservedMs);

struct ModelChoiceOptions
{
  // Confidence below which an answer is dropped when the pool is idle, and when
  // its prompts wait for mBusyWaitMs. The threshold is interpolated in between.
  double mIdleConfidence = 55;
  double mBusyConfidence = 15;
  double mBusyWaitMs = 1500;
  // Fraction of the latency goal that must remain after the larger model's
  // expected first event.
  double mLatencyReserve = 0.1;
};

// The state of a request whose answer from the smaller model is about to start.
struct EscalationInput
{
  // The smaller model's confidence in its own answer, 0 to 100.
  double mConfidence = 100;
  // Time since the caller's request arrived.
  double mElapsedMs = 0;
  // Expected time to the first event of the larger model.
  double mLargerFirstEventMs = 0;
  double mLatencyGoalMs = 0;
  // Recent queue time of prompts on the pool, without their own prefill.
  double mPoolWaitMs = 0;
};

// The least confidence with which an answer is kept.
double
ConfidenceThreshold(const EscalationInput& aInput,
                    const ModelChoiceOptions& aOptions);

// Whether to drop the answer and send the request to the larger model.
bool
ShouldEscalate(const EscalationInput& aInput,
               const ModelChoiceOptions& aOptions = {});

} // namespace savory
