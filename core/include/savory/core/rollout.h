#pragma once

#include "savory/core/config.h"
#include "savory/core/ratings.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace savory {

// Share of new work that a candidate receives at each stage.
inline constexpr std::array<double, 5> kStageShares{ 0.01,
                                                     0.05,
                                                     0.25,
                                                     0.5,
                                                     1.0 };

// Maximum number of answers of a candidate that await a rating at each stage,
// over all entries. This bounds what a bad candidate can answer before its
// first ratings arrive.
inline constexpr std::array<int, 5> kStageMaxOutstanding{ 8, 16, 32, 64, 128 };

// Error rates of the test: a candidate as good as the baseline version is
// stopped with probability mFalseStopRate; one that fails mFailureRatio times
// as often passes with probability mMissRate. The stated rate of false stops is
// 1%; the test spends 0.6% and leaves the rest to the error of the baseline
// failure rate, which is itself an estimate. That rate is used only from
// mMinBaselineRatings ratings on, and is at least mMinFailureRate, because no
// number of ratings distinguishes 0 from twice 0.
struct RolloutOptions
{
  double mFalseStopRate = 0.006;
  double mMissRate = 0.05;
  double mFailureRatio = 2;
  double mMinFailureRate = 0.005;
  std::int64_t mMinBaselineRatings = 100;
};

// A sequential probability ratio test between two failure rates. The
// log-likelihood ratio at or above mStopBound accepts the degraded rate, at or
// below mPassBound the baseline rate. mStopBound is ln(1/mFalseStopRate), which
// bounds the false stops strictly, where Wald's
// ln((1-mMissRate)/mFalseStopRate) does so approximately.
struct SequentialTest
{
  double mBaselineFailureRate = 0;
  double mDegradedFailureRate = 0;
  double mStopBound = 0;
  double mPassBound = 0;
};

SequentialTest
MakeSequentialTest(double aBaselineFailureRate, const RolloutOptions& aOptions);

// The log-likelihood ratio of counts. It depends on the totals alone, so that
// every process computes the same value from merged counts.
double
LogLikelihoodRatio(const SequentialTest& aTest, const RatingCounts& aCounts);

// Wald's approximation of the mean number of ratings until the test ends when
// answers fail at the degraded rate.
double
MeanRatingsUntilStop(const SequentialTest& aTest,
                     const RolloutOptions& aOptions);

enum class RolloutAction
{
  Continue,
  Pause,
  NextStage,
  Finish,
  Stop,
};

inline constexpr std::array<EnumName<RolloutAction>, 5> kRolloutActionNames{ {
  { RolloutAction::Continue, "continue" },
  { RolloutAction::Pause, "pause" },
  { RolloutAction::NextStage, "next_stage" },
  { RolloutAction::Finish, "finish" },
  { RolloutAction::Stop, "stop" },
} };

struct RolloutDecision
{
  RolloutAction mAction = RolloutAction::Continue;
  std::string mReason;
};

// Decides on a roll-out from its configured stage and the merged ratings alone.
// Stage N ends when the log-likelihood ratio has reached N+1 fifths of
// mPassBound. The test is never restarted, so that the error rates hold for the
// whole roll-out.
RolloutDecision
DecideRollout(const Rollout& aRollout,
              const RatingTable& aRatings,
              bool aRatingUp,
              const RolloutOptions& aOptions = {});

// The configuration in which `aTargetVersion`, a version in the list of the
// model, is a candidate at the first stage of a roll-out. Nothing when the
// model has a roll-out already, a version is missing, the two versions are the
// same, or `aBaselineVersion` is not serving.
std::optional<Configuration>
StartRollout(const Configuration& aConfig,
             const std::string& aModel,
             const std::string& aBaselineVersion,
             const std::string& aTargetVersion);

// The configuration after a decision, with the next revision, to be written by
// compare-and-swap. Nothing for Continue and Pause, when the roll-out is not in
// the configuration, and when its target is no longer a candidate. Finish makes
// the candidate serve and drains the baseline version, which keeps its
// sessions; Stop withdraws the candidate.
std::optional<Configuration>
ApplyRollout(const Configuration& aConfig,
             const std::string& aModel,
             RolloutAction aAction);

// Whether an entry may send one more request to the candidate of a roll-out.
// `aLocalOutstanding` is the number of answers at this entry that await a
// rating. The stage's limit is divided by the number of entries, with at least
// one per entry. False while the rating service is down.
bool
MaySendToCandidate(const Rollout& aRollout,
                   int aLocalOutstanding,
                   int aEntries,
                   bool aRatingUp);

// Time after which an answer no longer counts as awaiting its rating, so that a
// rating that never arrives does not block a roll-out for ever.
inline constexpr TimeMs kRatingTimeoutMs = 10 * 60 * 1000;

// Ratings of a version below which all its answers are rated on request, during
// its roll-out and after it. A bad version that the test missed is then found
// within about 700 answers; on sparse ratings it takes more than 4,000.
inline constexpr std::int64_t kWatchedRatings = 1500;

// Whether all answers of a version with `aRatings` ratings are to be rated.
bool
ShouldRateAnswers(std::int64_t aRatings);

// Parameters of the regression test of a version after its roll-out: a CUSUM of
// the log-likelihood ratio between its baseline failure rate, which is its own
// rate when the test starts, and mFailureRatio times that rate. Page's rule
// with threshold ln(mRatingsBetweenFalseAlarms) has a mean of at least that
// many ratings between false alarms (Lorden).
struct RegressionOptions
{
  double mFailureRatio = 2;
  double mRatingsBetweenFalseAlarms = 1e6;
  double mMinFailureRate = 0.005;
};

// The state of the regression test of one version. It may be lost: a new
// process starts from the present counts, which only delays the detection.
struct RegressionWatch
{
  double mBaselineFailureRate = 0;
  double mCusum = 0;
  RatingCounts mLastCounts;
  bool mStarted = false;
};

// Updates the test with the merged counts of a version. True when the version
// has regressed. The first call only starts the test with
// `aBaselineFailureRate`.
bool
ObserveVersion(RegressionWatch& aWatch,
               const RatingCounts& aCounts,
               double aBaselineFailureRate,
               const RegressionOptions& aOptions = {});

// The mean number of ratings from a regression to the alarm, computed as the
// threshold over the drift.
double
MeanDetectionDelay(double aBaselineFailureRate,
                   const RegressionOptions& aOptions = {});

// The configuration in which a version that regressed is withdrawn. The newest
// draining version serves again when no other one is serving. Nothing when no
// version would be left to serve, or the version is unknown or withdrawn
// already.
std::optional<Configuration>
WithdrawVersion(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion);

// Estimates the failure rate of a version over all classes, with the prior
// `aPrior` weighted as 100 ratings.
double
FailureRate(const RatingCounts& aCounts, double aPrior);

} // namespace savory
