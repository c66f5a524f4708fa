#pragma once

#include "savory/core/completion_forecast.h"
#include "savory/core/runners.h"
#include "savory/core/types.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savory {

// Admission of requests to the runners of a service, its pool, while it is
// paced (IsPaced of runners.h). Requests used to queue at runners until their
// deadlines: of 100, 11 to 29 were not served in time and almost none was
// refused, so runners spent time on answers that nobody could use.

enum class PoolAction
{
  Place,
  PlaceSmaller,
  Wait,
  Refuse,
};

inline constexpr std::array<EnumName<PoolAction>, 4> kPoolActionNames{ {
  { PoolAction::Place, "place" },
  { PoolAction::PlaceSmaller, "place-smaller" },
  { PoolAction::Wait, "wait" },
  { PoolAction::Refuse, "refuse" },
} };

enum class PoolReason
{
  // The answer ends in time, or may do so.
  Fits,
  // That of the preferred model does not, and a smaller model's does.
  SmallerFits,
  // It may be late, but the pool has spare capacity.
  SpareCapacity,
  // It should be late; some such requests are placed to check the forecasts.
  Probe,
  // The pool is full and the customer has more than its share.
  OverShare,
  // Even the optimistic forecast ends after the deadline.
  CannotEnd,
};

inline constexpr std::array<EnumName<PoolReason>, 6> kPoolReasonNames{ {
  { PoolReason::Fits, "fits" },
  { PoolReason::SmallerFits, "smaller-fits" },
  { PoolReason::SpareCapacity, "spare-capacity" },
  { PoolReason::Probe, "probe" },
  { PoolReason::OverShare, "over-share" },
  { PoolReason::CannotEnd, "cannot-end" },
} };

struct PoolOptions
{
  // The quantile of the forecast that decides on a refusal.
  double mOptimisticQuantile = 0.1;
  // No refusal below this share of taken slots while nothing is queued.
  double mSpareOccupancy = 0.5;
  // Share of the hopeless requests that are placed all the same: without them,
  // estimates that are wrong would never be corrected.
  double mProbeShare = 0.05;
  // The pool counts as full from this load on.
  double mFullLoad = 0.95;
  // Longest time that a request is held back, also as a share of the route's
  // latency goal: no runner can start on a request that is held back.
  TimeMs mMaxHoldMs = 200;
  double mMaxHoldRatio = 0.125;
  // Bounds of the time after which to retry; the upper one is a share of the
  // time left, since callers do not wait longer.
  TimeMs mMinRetryMs = 50;
  double mMaxRetryRatio = 1.0 / 3;
  // Half-life with which the damped load follows the reported one. Reports are
  // 100 to 200 ms old, and hosts that react to one within that time react
  // together.
  double mDampingHalfLifeMs = 400;
};

// The damped load of a pool: requests taken and queued over slots.
struct DampedLoad
{
  double mLoad = 0;
  TimeMs mUpdatedMs = 0;
};

// Moves the damped load towards aLoad by the part for the time passed.
void
UpdateLoad(DampedLoad& aDamped,
           double aLoad,
           TimeMs aNowMs,
           const PoolOptions& aOptions = {});

// What this host knows of a service's runners.
struct PoolState
{
  int mSlots = 0;
  // Slots that are taken, and requests that wait for one.
  int mTaken = 0;
  int mQueued = 0;
  double mDampedLoad = 0;
};

// Counts the slots of a service's live runners. A runner without a report of
// the last second counts as taken like the mean of the others, or with the
// requests of this host if those are more; nothing counts as queued there.
PoolState
DescribePool(const RunnerSet& aSet, const std::string& aService, TimeMs aNowMs);

// Requests taken and queued over slots; 0 without slots.
double
PoolLoad(const PoolState& aState);

// The size of a runner's batch: its report of the last second, or the requests
// of this host if those are more.
int
EstimateRunning(const RunnerState& aRunner, TimeMs aNowMs);

// One way to serve a request.
struct PoolOption
{
  std::string mModel;
  // For the best runner.
  CompletionForecast mForecast;
  // Engine time of the whole answer, in runner-milliseconds.
  double mWorkMs = 0;
  // The probability that the answer is right.
  double mQuality = 1;
};

struct PoolRequest
{
  // The preferred way first, then cheaper ones.
  std::vector<PoolOption> mOptions;
  TimeMs mArrivedMs = 0;
  TimeMs mDeadlineMs = 0;
  TimeMs mLatencyGoalMs = 0;
  bool mIsOverShare = false;
  // Uniform in [0, 1); spreads probes and retries.
  double mPoint = 0;
};

struct PoolDecision
{
  PoolAction mAction = PoolAction::Place;
  PoolReason mReason = PoolReason::Fits;
  // The option to place.
  std::size_t mOption = 0;
  // For Wait: how long. For Refuse: the time to retry after.
  TimeMs mAfterMs = 0;
  // Optimistic and median forecast of the option, in milliseconds from now.
  double mOptimisticMs = 0;
  double mMedianMs = 0;
};

// Decides whether to place a request that has not run. A request with no known
// option is placed.
PoolDecision
DecidePool(const PoolState& aState,
           const PoolRequest& aRequest,
           TimeMs aNowMs,
           const PoolOptions& aOptions = {});

// A time to retry after a refusal: aExpectedMs spread by half of it to either
// side, at most the allowed part of the time left.
TimeMs
SpreadRetryMs(double aExpectedMs,
              TimeMs aRemainingMs,
              double aPoint,
              const PoolOptions& aOptions = {});

// The price of the engine time of a request while others wait for it: 0 while
// the pool is at most half full, 1 when it is full, at most 2.
double
LoadPrice(double aDampedLoad, double aPoolWaitMs, TimeMs aLatencyGoalMs);

struct EscalationOptions
{
  // Answers of at least this confidence are kept, as on an idle pool.
  double mKeepConfidence = 55;
  // Worth of an answer whose first event comes after the latency goal: a tenth
  // of a timely one on one deployment, half of it on another.
  double mLateWorth = 0.3;
  // Mean worth of the requests that engine time of others is taken from.
  double mMeanWorth = 0.7;
  // What an answer must be worth more to drop one that is ready, and the least
  // probability with which it must end in time.
  double mMinGain = 0.05;
  double mMinEndChance = 0.75;
  // The probability that the largest model is right, and that of a middle one
  // as the part that it makes good of the difference to it. Models of middle
  // size answer little better than the smallest: right for 0.64 of the requests
  // against 0.54 and 1.0 on the users' deployments.
  double mLargestQuality = 0.95;
  double mMiddleShare = 0.2;
};

// The state of a request whose answer by a smaller model is about to start.
struct EscalationRequest
{
  // The smaller model's confidence, 0 to 100, and the forecast of its answer.
  double mConfidence = 100;
  CompletionForecast mReady;
  // Larger models, from the smallest of them on.
  std::vector<PoolOption> mLarger;
  // Time left until the deadline and until the latency goal.
  TimeMs mRemainingMs = 0;
  TimeMs mGoalRemainingMs = 0;
  double mLoadPrice = 0;
  // Mean engine time of the service's requests, in runner-milliseconds; 0 while
  // unknown.
  double mMeanWorkMs = 0;
};

// The probability that a larger model's answer is right. aRank counts the
// larger models from 1; the last of aCount is the largest.
double
LargerModelQuality(double aConfidence,
                   std::size_t aRank,
                   std::size_t aCount,
                   const EscalationOptions& aOptions = {});

// The larger model that is worth its engine time, or nothing to keep the
// answer. Drops no answer unless the whole answer of the larger model should
// end in time.
std::optional<std::size_t>
ChooseLargerModel(const EscalationRequest& aRequest,
                  const EscalationOptions& aOptions = {});

// A request that was sent and has not been answered within the expected time.
struct OverdueAttempt
{
  TimeMs mWaitedMs = 0;
  // The runner has answered another request since this one was sent, so it has
  // a queue rather than a fault.
  bool mRunnerAnswers = false;
  // Estimated time to the first event of a request sent now to that runner, and
  // to the best other one.
  double mHereMs = 0;
  double mElsewhereMs = 0;
  // Whether an answer of the other runner is likely to end in time.
  double mElsewhereChance = 0;
};

// Whether to send the request to another runner, at the cost of the work that
// was done. Second attempts at equally full runners made overload worse.
bool
ShouldMoveAttempt(const OverdueAttempt& aAttempt);

} // namespace savory
