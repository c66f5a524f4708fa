#pragma once

#include "savory/core/types.h"

namespace savory {

// The speed of a runner's process, learned from its answers. Runners of one
// service may usually work at different speeds, and the difference stays for
// the life of the process. Work is compared in logarithms, so that twice as
// slow and twice as fast cancel out.
struct RunnerSpeed
{
  // Decayed sums at mUpdatedMs.
  double mLogSum = 0;
  double mWeight = 0;
  TimeMs mUpdatedMs = 0;
};

// Work of a runner whose duration was observed.
struct WorkObservation
{
  // What it takes on a runner of usual speed that is not slowed down.
  double mExpectedMs = 0;
  double mObservedMs = 0;
  // The runner's slowdown meanwhile, which must not enter the learned speed.
  double mSlowdown = 1;
  // The share of the expected time that depends on the runner's speed alone,
  // from 0 to 1: a wait of uncertain length says little.
  double mCertainty = 1;
};

// How long work takes at the runner over how long it takes at a usual one, from
// 0.25 to 4. It is 1 without observations and returns there as they age.
double
SpeedFactor(const RunnerSpeed& aSpeed, TimeMs aNowMs);

// Adds an observation. Callers leave out work of cold runners.
void
LearnSpeed(RunnerSpeed& aSpeed,
           const WorkObservation& aObservation,
           TimeMs aNowMs);

// How far a runner's statement of its slowdown that is aAgeMs old still holds,
// from 1 to 0. Slow spells begin and end several times a second, so that an
// older statement says nothing about work that begins now.
double
SlowdownWeight(TimeMs aAgeMs);

// The expected slowdown of work that begins now, given the last statement and
// the mean of the service's runners.
double
EstimateSlowdown(double aStated, double aMean, TimeMs aAgeMs);

// How long a decode step takes on a runner of usual speed by the number of
// requests in its batch, learned per service and model: a decayed linear
// regression of milliseconds per token.
struct StepSpeed
{
  double mWeight = 0;
  double mBatchSum = 0;
  double mMsSum = 0;
  double mBatchSquareSum = 0;
  double mBatchMsSum = 0;
};

// Adds a stream's mean milliseconds per token, divided by its runner's speed
// factor, and the mean number of requests in the batch meanwhile.
void
LearnStep(StepSpeed& aSpeed, double aBatch, double aMsPerToken);

// Expected milliseconds per token in a batch of that size on a runner of usual
// speed. Before any stream was observed it follows from the prefill
// milliseconds per token, as both depend on the size of the model.
double
EstimateTokenMs(const StepSpeed& aSpeed,
                double aBatch,
                double aPrefillMsPerToken);

} // namespace savory
