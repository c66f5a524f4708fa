#pragma once

#include "savory/core/permission.h"
#include "savory/core/ratings.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace savory {

// Parameters of step planning.
struct CascadeOptions
{
  // Shares of the requests that explore: with the version that has the fewest
  // ratings, or, where one exists, with a cheaper choice that may meet the
  // quality target. Over all requests both stay within 2%.
  double mExplorationShare = 0.01;
  double mPromisingShare = 0.08;
  // Weight of the configured quality as a prior, in ratings.
  double mPriorRatings = 20;
  // Distance of a pass rate's lower bound from its mean, in standard deviations
  // of the posterior.
  double mLowerBoundDeviations = 0.5;
  // Ratings in the class that a version needs to be used while the rating
  // service is down.
  std::int64_t mProvenRatings = 30;
  // Ratings below which all answers of a plan's last step are rated.
  std::int64_t mWantedRatings = 300;
  SafetyChecks mChecks;
};

// An estimated pass rate: the mean of the posterior, its lower bound and the
// number of ratings behind it.
struct PassRate
{
  double mMean = 0;
  double mLowerBound = 0;
  std::int64_t mRatings = 0;
};

// Estimates the pass rate of a version as the first step for a class. The prior
// is the posterior of the version before it in the model's list, and the
// configured quality for the first version.
PassRate
EstimatePassRate(const Model& aModel,
                 std::string_view aVersion,
                 const RatingTable& aRatings,
                 int aClass,
                 const CascadeOptions& aOptions);

// The expected duration of a step at a model under its present load.
struct StepTime
{
  std::string mModel;
  TimeMs mExpectedMs = 0;
};

// A request to plan. An empty `mModel` leaves the choice of the model to the
// router. `mExcluded` lists each "model@version" that cannot serve the request
// now, such as a candidate at its limit of unrated answers. `mRatingMs` is the
// expected duration of a rating. Prices are per token.
struct PlanInput
{
  RequestClass mClass;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::string mModel;
  bool mStream = false;
  TimeMs mRemainingMs = 0;
  bool mRatingUp = true;
  TimeMs mRatingMs = 0;
  std::vector<std::string> mExcluded;
  std::vector<StepTime> mStepTimes;
};

struct Step
{
  std::string mModel;
  std::string mVersion;
  double mPassRate = 0;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
};

// The one or two steps of a request; the second runs only when the rating of
// the first fails. `mRateAnswer` requests a rating of the last step's answer,
// which otherwise is rated only when sampled. `mReason` is the text for the
// explanation.
struct Plan
{
  std::vector<Step> mSteps;
  double mQuality = 0;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
  bool mExploration = false;
  bool mRateAnswer = false;
  std::string mReason;
};

// Chooses the steps of a request under the preset in force. The error is the
// code with which the request is refused when no version may serve it.
tl::expected<Plan, ErrorCode>
PlanRequest(const Configuration& aConfig,
            const Customer& aCustomer,
            const RatingTable& aRatings,
            const PlanInput& aInput,
            const CascadeOptions& aOptions,
            std::mt19937_64& aRandom);

enum class StepAction
{
  Deliver,
  Escalate,
};

// The action after a step. For Escalate, `mNext` is the step to run.
struct StepDecision
{
  StepAction mAction = StepAction::Deliver;
  Step mNext;
  std::string mReason;
};

// Decides whether to deliver the answer of a plan's first step or to escalate.
// `aPassed` is empty when no rating came in time. `aInput` holds the time that
// remains now. When the planned second step may not run any more, the step with
// the highest pass rate replaces it.
StepDecision
DecideAfterStep(const Configuration& aConfig,
                const Customer& aCustomer,
                const RatingTable& aRatings,
                const Plan& aPlan,
                std::optional<bool> aPassed,
                const PlanInput& aInput,
                const CascadeOptions& aOptions);

// Makes the key under which the rating of step `aStep` of a plan is counted.
RatingKey
MakeRatingKey(const Plan& aPlan, std::size_t aStep, const RequestClass& aClass);

} // namespace savory
