#include "savory/core/runner_speed.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

constexpr double kMaxSpeedFactor = 4;

// An entry host sends few requests to each of many runners, so evidence must
// last for minutes; a process keeps its speed.
constexpr double kSpeedHalfLifeMs = 600'000;

// Weight of the assumption that a runner is of usual speed, in observations.
constexpr double kUsualSpeedWeight = 0.5;

// The weight cannot grow beyond this, so that a lasting change shows.
constexpr double kMaxSpeedWeight = 30;

// Slow spells begin or end about every 600 ms, so that half of the statements
// no longer hold after 400 ms, and hardly any after 900 ms.
constexpr double kSlowdownHalfLifeMs = 400;
constexpr TimeMs kMaxSlowdownAgeMs = 900;

// Weight that a regression keeps when one more stream is observed.
constexpr double kStepDecay = 0.98;

// Least weighted variance of the batch size for a slope of its own; below it
// the usual slope of engines applies, as a part of the empty step per request.
constexpr double kMinBatchVariance = 9;
constexpr double kUsualSlope = 0.012;
constexpr double kMaxSlope = 0.1;

// A decode step takes about as long as the prefill of this many tokens. It fits
// the engines known within a third.
constexpr double kPrefillTokensPerStep = 480;

double
Decay(const RunnerSpeed& aSpeed, TimeMs aNowMs)
{
  double age = std::max(0.0, static_cast<double>(aNowMs - aSpeed.mUpdatedMs));
  return std::exp2(-age / kSpeedHalfLifeMs);
}

} // namespace

double
SpeedFactor(const RunnerSpeed& aSpeed, TimeMs aNowMs)
{
  double decay = Decay(aSpeed, aNowMs);
  double factor = std::exp(aSpeed.mLogSum * decay /
                           (aSpeed.mWeight * decay + kUsualSpeedWeight));
  return std::clamp(factor, 1 / kMaxSpeedFactor, kMaxSpeedFactor);
}

void
LearnSpeed(RunnerSpeed& aSpeed,
           const WorkObservation& aObservation,
           TimeMs aNowMs)
{
  if (!(aObservation.mExpectedMs > 0) || !(aObservation.mObservedMs > 0) ||
      !(aObservation.mSlowdown > 0) || !(aObservation.mCertainty > 0)) {
    return;
  }
  double ratio =
    std::clamp(aObservation.mObservedMs /
                 (aObservation.mExpectedMs * aObservation.mSlowdown),
               1 / kMaxSpeedFactor,
               kMaxSpeedFactor);
  double decay = Decay(aSpeed, aNowMs);
  double weight = std::min(1.0, aObservation.mCertainty);
  aSpeed.mLogSum = aSpeed.mLogSum * decay + weight * std::log(ratio);
  aSpeed.mWeight = aSpeed.mWeight * decay + weight;
  if (aSpeed.mWeight > kMaxSpeedWeight) {
    aSpeed.mLogSum *= kMaxSpeedWeight / aSpeed.mWeight;
    aSpeed.mWeight = kMaxSpeedWeight;
  }
  aSpeed.mUpdatedMs = aNowMs;
}

double
SlowdownWeight(TimeMs aAgeMs)
{
  if (aAgeMs < 0 || aAgeMs >= kMaxSlowdownAgeMs) {
    return 0;
  }
  return std::exp2(-static_cast<double>(aAgeMs) / kSlowdownHalfLifeMs);
}

double
EstimateSlowdown(double aStated, double aMean, TimeMs aAgeMs)
{
  return aMean + (aStated - aMean) * SlowdownWeight(aAgeMs);
}

void
LearnStep(StepSpeed& aSpeed, double aBatch, double aMsPerToken)
{
  if (!(aMsPerToken > 0) || !(aBatch >= 0)) {
    return;
  }
  aSpeed.mWeight = aSpeed.mWeight * kStepDecay + 1;
  aSpeed.mBatchSum = aSpeed.mBatchSum * kStepDecay + aBatch;
  aSpeed.mMsSum = aSpeed.mMsSum * kStepDecay + aMsPerToken;
  aSpeed.mBatchSquareSum =
    aSpeed.mBatchSquareSum * kStepDecay + aBatch * aBatch;
  aSpeed.mBatchMsSum = aSpeed.mBatchMsSum * kStepDecay + aBatch * aMsPerToken;
}

double
EstimateTokenMs(const StepSpeed& aSpeed,
                double aBatch,
                double aPrefillMsPerToken)
{
  if (aSpeed.mWeight <= 0) {
    return kPrefillTokensPerStep * aPrefillMsPerToken *
           (1 + kUsualSlope * aBatch);
  }
  double meanBatch = aSpeed.mBatchSum / aSpeed.mWeight;
  double meanMs = aSpeed.mMsSum / aSpeed.mWeight;
  double variance =
    aSpeed.mBatchSquareSum / aSpeed.mWeight - meanBatch * meanBatch;
  double usualEmptyMs = meanMs / (1 + kUsualSlope * meanBatch);
  double slope = usualEmptyMs * kUsualSlope;
  if (variance >= kMinBatchVariance) {
    double covariance =
      aSpeed.mBatchMsSum / aSpeed.mWeight - meanBatch * meanMs;
    slope = std::clamp(covariance / variance, 0.0, usualEmptyMs * kMaxSlope);
  }
  // Far below the sizes observed a step keeps at least half of its mean.
  return std::max(meanMs / 2, meanMs + slope * (aBatch - meanBatch));
}

} // namespace savory
