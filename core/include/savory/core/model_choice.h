#pragma once

#include "savory/core/types.h"

#include <map>
#include <string>

namespace savory {

// Choice of the model size for requests that leave it open. The smallest model
// answers first; its answer comes with a rough confidence before its first
// token, and an answer that is not good enough is dropped and asked again from
// the largest model while the caller has received nothing.

// How long reading a prompt takes with a model, learned from answers.
struct PrefillSpeed
{
  double mMsPerToken = 0.03;
  double mFixedMs = 20;
  // Answers learned from; the first ones weigh more.
  int mAnswers = 0;
};

// A first guess from the price of 1,000 generated tokens: larger models cost
// more and read more slowly.
PrefillSpeed
InitialPrefillSpeed(double aPerThousand);

// Learns from one answer: what was expected and what was observed.
void
UpdatePrefillSpeed(PrefillSpeed& aSpeed,
                   double aExpectedMs,
                   double aObservedMs);

struct ModelChoiceOptions
{
  // Confidence below which an answer is dropped on an idle pool, and on one
  // whose prompts wait for mBusyWaitMs.
  double mIdleConfidence = 55;
  double mBusyConfidence = 15;
  double mBusyWaitMs = 1500;
  // Part of the latency goal that must be left over after the larger model's
  // expected first event.
  double mLatencyReserve = 0.1;
};

struct EscalationInput
{
  // 0 to 100, as the smaller model judges its own answer.
  double mConfidence = 100;
  // Since the caller's request arrived.
  double mElapsedMs = 0;
  // Expected time to the first event of the larger model.
  double mLargerFirstEventMs = 0;
  double mLatencyGoalMs = 0;
  // Recent time that prompts waited beyond their own reading, on the pool.
  double mPoolWaitMs = 0;
};

// The confidence from which on an answer is kept.
double
ConfidenceThreshold(const EscalationInput& aInput,
                    const ModelChoiceOptions& aOptions);

// Whether to drop the answer and ask the larger model.
bool
ShouldEscalate(const EscalationInput& aInput,
               const ModelChoiceOptions& aOptions = {});

} // namespace savory
