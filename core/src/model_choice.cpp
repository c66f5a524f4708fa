#include "savory/core/model_choice.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

// Weight of one answer in the estimate, and the bound of its observed over
// expected time: a stalled runner says little about the model.
constexpr double kSpeedAnswerWeight = 0.08;
constexpr double kMaxSpeedRatio = 4;

// Weight of the first answer; it decreases with the number of answers.
constexpr double kFirstAnswerWeight = 0.5;

// Prefill milliseconds per token for each unit of the price of 1,000 tokens. It
// fits engines with published prices within a factor of two.
constexpr double kPrefillMsPerTokenPerPrice = 0.45;
constexpr double kInitialFixedMs = 20;

} // namespace

PrefillSpeed
InitialPrefillSpeed(double aPricePerThousandTokens)
{
  PrefillSpeed speed;
  if (aPricePerThousandTokens > 0) {
    speed.mMsPerToken = kPrefillMsPerTokenPerPrice * aPricePerThousandTokens;
  }
  speed.mFixedMs = kInitialFixedMs;
  return speed;
}

void
UpdatePrefillSpeed(PrefillSpeed& aSpeed, double aExpectedMs, double aObservedMs)
{
  if (aExpectedMs <= 0 || aObservedMs <= 0) {
    return;
  }
  double ratio =
    std::clamp(aObservedMs / aExpectedMs, 1 / kMaxSpeedRatio, kMaxSpeedRatio);
  ++aSpeed.mAnswers;
  double weight =
    std::max(kSpeedAnswerWeight, kFirstAnswerWeight / aSpeed.mAnswers);
  double factor = std::pow(ratio, weight);
  aSpeed.mMsPerToken *= factor;
  aSpeed.mFixedMs *= factor;
}

double
ConfidenceThreshold(const EscalationInput& aInput,
                    const ModelChoiceOptions& aOptions)
{
  double load = std::clamp(aInput.mPoolWaitMs / aOptions.mBusyWaitMs, 0.0, 1.0);
  return aOptions.mIdleConfidence +
         load * (aOptions.mBusyConfidence - aOptions.mIdleConfidence);
}

bool
ShouldEscalate(const EscalationInput& aInput,
               const ModelChoiceOptions& aOptions)
{
  double remainingMs =
    aInput.mLatencyGoalMs * (1 - aOptions.mLatencyReserve) - aInput.mElapsedMs;
  return aInput.mLargerFirstEventMs <= remainingMs &&
         aInput.mConfidence < ConfidenceThreshold(aInput, aOptions);
}

} // namespace savory
