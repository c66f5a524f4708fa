#pragma once

#include "savory/core/permission.h"
#include "savory/core/ratings.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace savory {

// Parameters of the choice of steps.
struct CascadeOptions
{
  // Share of requests that go to the least rated version, and the share that
  // goes to a cheaper choice which may meet the target, where there is one.
  // Over all requests both stay within 2%.
  double mExplorationShare = 0.01;
  double mPromisingShare = 0.08;
  // Ratings that the configured quality counts as.
  double mPriorRatings = 20;
  // Standard deviations of the posterior by which a pass rate is discounted.
  double mLowerBoundDeviations = 0.5;
  // Ratings in the class from which a version is used without the rating
  // service.
  std::int64_t mProvenRatings = 30;
  // Ratings up to which the last step of a plan has its answers rated.
  std::int64_t mWantedRatings = 300;
  SafetyChecks mChecks;
};

// What is known of a pass rate: the posterior's mean, its discounted value and
// the number of ratings behind it.
struct PassRate
{
  double mMean = 0;
  double mLowerBound = 0;
  std::int64_t mRatings = 0;
};

// The pass rate of a version as first step of a class. The prior is the
// posterior of the version before it in the model's list, and the configured
// quality for the first.
PassRate
EstimatePassRate(const Model& aModel,
                 std::string_view aVersion,
                 const RatingTable& aRatings,
                 int aClass,
                 const CascadeOptions& aOptions);

// The expected time of a step at a model under its present load.
struct StepTime
{
  std::string mModel;
  TimeMs mExpectedMs = 0;
};

// One request to plan. An empty `mModel` leaves the choice to the router.
// `mExcluded` lists each "model@version" that cannot take it now, such as a
// candidate at its limit of unrated answers. Prices are per token.
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

// The steps of a request, one or two; the second runs only when the rating of
// the first fails. `mRateAnswer` asks for a rating of the answer of the last
// step, which a sample would otherwise get. `mReason` is the text for the
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

// Chooses the steps of a request under the preset in force.
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

// What follows a step. For Escalate, `mNext` is the step to run.
struct StepDecision
{
  StepAction mAction = StepAction::Deliver;
  Step mNext;
  std::string mReason;
};

// Decides after the answer of the first step of a plan. `aPassed` is nothing
// when no rating came in time. The input holds the time that remains now. When
// the planned second step may not run any more, the best other one is taken.
StepDecision
DecideAfterStep(const Configuration& aConfig,
                const Customer& aCustomer,
                const RatingTable& aRatings,
                const Plan& aPlan,
                std::optional<bool> aPassed,
                const PlanInput& aInput,
                const CascadeOptions& aOptions);

// The key under which the rating of a step of a plan is counted.
RatingKey
MakeRatingKey(const Plan& aPlan, std::size_t aStep, const RequestClass& aClass);

} // namespace savory
