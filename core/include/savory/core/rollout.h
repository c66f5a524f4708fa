#pragma once

#include "savory/core/config.h"
#include "savory/core/ratings.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace savory {

// The share of new work that a candidate receives at each stage.
inline constexpr std::array<double, 5> kStageShares{ 0.01,
                                                     0.05,
                                                     0.25,
                                                     0.5,
                                                     1.0 };

// Answers of a candidate that may await a rating at each stage, over all
// entries. They bound what a bad candidate can answer before its first ratings
// arrive.
inline constexpr std::array<int, 5> kStageOutstanding{ 8, 16, 32, 64, 128 };

// Error rates of the test: a candidate as good as its predecessor is stopped
// with mFalseStopRate; one that fails mFailureRatio times as often passes with
// mMissRate. The stated rate of false stops is 1%; the test spends 0.6% and
// leaves the rest to the error of the predecessor's rate, which is itself an
// estimate. The predecessor's rate counts only from mMinBaselineRatings ratings
// on, and is at least mMinFailureRate, because no number of ratings tells 0
// from twice 0.
struct RolloutOptions
{
  double mFalseStopRate = 0.006;
  double mMissRate = 0.05;
  double mFailureRatio = 2;
  double mMinFailureRate = 0.005;
  std::int64_t mMinBaselineRatings = 100;
};

// A sequential probability ratio test between two failure rates. The
// log-likelihood ratio at or above mStopBound accepts the bad rate, at or below
// mPassBound the good one. mStopBound is ln(1/mFalseStopRate), which bounds the
// false stops strictly, where Wald's ln((1-mMissRate)/mFalseStopRate) does so
// approximately.
struct SequentialTest
{
  double mBaselineFailureRate = 0;
  double mDegradedFailureRate = 0;
  double mStopBound = 0;
  double mPassBound = 0;
};

SequentialTest
MakeSequentialTest(double aBaselineFailureRate, const RolloutOptions& aOptions);

// The log-likelihood ratio of counts; it depends on the totals alone, so that
// any process computes the same from merged counts.
double
LogLikelihoodRatio(const SequentialTest& aTest, const RatingCounts& aCounts);

// Wald's approximation of the mean number of ratings until the test ends when
// answers fail at the bad rate.
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

// Decides on a roll-out from its configured stage and the merged ratings
// alone. Stage N ends when the test has gone N+1 fifths of the way to its
// passing bound; the test is never restarted, so that the error rates hold for
// the whole roll-out.
RolloutDecision
DecideRollout(const Rollout& aRollout,
              const RatingTable& aRatings,
              bool aRatingUp,
              const RolloutOptions& aOptions = {});

// Starts the roll-out of a version that is in the list of its model, as a
// candidate at the first stage. Nothing when the model has one already, a
// version is missing, or the predecessor takes no new work.
std::optional<Configuration>
StartRollout(const Configuration& aConfig,
             const std::string& aModel,
             const std::string& aFrom,
             const std::string& aTo);

// The configuration after a decision, with the next revision, to be written by
// compare-and-swap. Nothing for Continue and Pause and when the roll-out is
// not in the configuration. Finish makes the candidate serve and drains its
// predecessor, which keeps its sessions; Stop withdraws the candidate.
std::optional<Configuration>
ApplyRollout(const Configuration& aConfig,
             const std::string& aModel,
             RolloutAction aAction);

// Whether an entry may send one more request to the candidate of a roll-out,
// given its own answers that await a rating. The stage's limit is split over
// the entries; each has at least one. False while the rating service is down.
bool
MaySendToCandidate(const Rollout& aRollout,
                   int aLocalOutstanding,
                   int aEntries,
                   bool aRatingUp);

// How long an answer counts as awaiting its rating; a rating that never comes
// must not block a roll-out for ever.
inline constexpr TimeMs kRatingTimeoutMs = 10 * 60 * 1000;

// Ratings of a version up to which all its answers are rated on request, during
// its roll-out and after it. A bad version that the test missed is then found
// within about 700 answers; on sparse ratings it takes more than 4,000.
inline constexpr std::int64_t kWatchedRatings = 1500;

// Whether the answers of a version with that many ratings are to be rated.
bool
ShouldRateAnswers(std::int64_t aRatings);

// Watches a version after its roll-out by a CUSUM of the log-likelihood ratio
// between its own rate and mFailureRatio times that rate. Page's rule with
// threshold ln(mRatingsBetweenFalseAlarms) has a mean of at least that many
// ratings between false alarms (Lorden).
struct RegressionOptions
{
  double mFailureRatio = 2;
  double mRatingsBetweenFalseAlarms = 1e6;
  double mMinFailureRate = 0.005;
};

// The state of one version's watch. It may be lost: a new process starts from
// the counts that it finds, which costs delay only.
struct RegressionWatch
{
  double mBaselineFailureRate = 0;
  double mCusum = 0;
  RatingCounts mLastCounts;
  bool mStarted = false;
};

// Takes the merged counts of a version and says whether it has turned bad.
// The first call sets the reference rate to `aBaselineFailureRate`.
bool
ObserveVersion(RegressionWatch& aWatch,
               const RatingCounts& aCounts,
               double aBaselineFailureRate,
               const RegressionOptions& aOptions = {});

// The mean number of ratings from the change to the alarm, as the threshold
// over the drift.
double
MeanDetectionDelay(double aBaselineFailureRate,
                   const RegressionOptions& aOptions = {});

// The configuration that withdraws a version which turned bad. The newest
// draining version serves again when no other one is serving. Nothing when no
// version would be left to serve.
std::optional<Configuration>
WithdrawVersion(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion);

// The learned failure rate of a version over all classes, with `aPrior` as one
// hundred ratings.
double
FailureRate(const RatingCounts& aCounts, double aPrior);

} // namespace savory
