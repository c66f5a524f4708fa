#include "savory/core/cascade.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace savory {

namespace {

// A prior at 0 or 1 would never learn from ratings.
constexpr double kMinPrior = 0.02;
constexpr double kMaxPrior = 0.98;

// Weight, in ratings, of a version's first-step pass rate as the prior of its
// pass rate after a failed step.
constexpr double kSecondStepPriorRatings = 10;

// Distance of the upper bound that exploration uses from the mean, as a
// multiple of the distance between the mean and the lower bound.
constexpr double kUpperBoundMargins = 2;

// A version that one model contributes to a plan.
struct Candidate
{
  const Model* mModel = nullptr;
  const Version* mVersion = nullptr;
  std::string mQualifiedVersion;
  PassRate mRate;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
};

// One or two steps with their expected quality, cost and duration.
struct Choice
{
  const Candidate* mFirst = nullptr;
  const Candidate* mSecond = nullptr;
  double mQuality = 0;
  double mLowerBound = 0;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
  std::int64_t mRatings = 0;
};

PassRate
Posterior(double aPrior,
          double aPriorRatings,
          const RatingCounts& aCounts,
          double aLowerBoundDeviations)
{
  double prior = std::clamp(aPrior, kMinPrior, kMaxPrior);
  double passed = prior * aPriorRatings + static_cast<double>(aCounts.mPassed);
  double weight = aPriorRatings + static_cast<double>(TotalRatings(aCounts));
  double mean = passed / weight;
  double deviation = std::sqrt(mean * (1 - mean) / (weight + 1));
  return { mean,
           std::max(0.0, mean - aLowerBoundDeviations * deviation),
           TotalRatings(aCounts) };
}

// The pass rate of a version on requests whose first answer, by another
// version, failed its rating.
PassRate
SecondStepPassRate(const Candidate& aSecond,
                   const Candidate& aFirst,
                   const RatingTable& aRatings,
                   int aClass,
                   const CascadeOptions& aOptions)
{
  return Posterior(
    aSecond.mRate.mMean,
    kSecondStepPriorRatings,
    FindCounts(aRatings,
               { aClass, aSecond.mQualifiedVersion, aFirst.mQualifiedVersion }),
    aOptions.mLowerBoundDeviations);
}

bool
Contains(const std::vector<std::string>& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

// Draws the version of a model for new work: a candidate with the probability
// of its share, else one of the serving versions with equal probability.
// Candidates receive no work while the rating service is down, because nothing
// could stop a bad one.
const Version*
DrawVersion(const Configuration& aConfig,
            const Customer& aCustomer,
            const Model& aModel,
            const PlanInput& aInput,
            const CascadeOptions& aOptions,
            std::mt19937_64& aRandom)
{
  std::vector<const Version*> serving;
  double draw = std::uniform_real_distribution<>(0, 1)(aRandom);
  const Version* drawn = nullptr;
  for (const auto& version : aModel.mVersions) {
    if (CheckPermission(aConfig,
                        aCustomer,
                        aModel.mName,
                        version.mName,
                        WorkKind::New,
                        aOptions.mChecks) ||
        (!aInput.mExcluded.empty() &&
         Contains(aInput.mExcluded,
                  QualifiedVersion(aModel.mName, version.mName)))) {
      continue;
    }
    if (version.mState != VersionState::Candidate) {
      serving.push_back(&version);
    } else if (aInput.mRatingUp && !drawn) {
      if (draw < version.mShare) {
        drawn = &version;
      }
      draw -= version.mShare;
    }
  }
  if (drawn || serving.empty()) {
    return drawn;
  }
  std::size_t last = serving.size() - 1;
  return last == 0 ? serving[0]
                   : serving[std::uniform_int_distribution<std::size_t>(
                       0, last)(aRandom)];
}

Candidate
MakeCandidate(const Model& aModel,
              const Version& aVersion,
              const RatingTable& aRatings,
              const PlanInput& aInput,
              const CascadeOptions& aOptions)
{
  Candidate candidate{
    .mModel = &aModel,
    .mVersion = &aVersion,
    .mQualifiedVersion = QualifiedVersion(aModel.mName, aVersion.mName),
    .mRate = EstimatePassRate(
      aModel, aVersion.mName, aRatings, ClassIndex(aInput.mClass), aOptions),
    .mCost =
      static_cast<double>(aModel.mInputCostPerToken * aInput.mInputTokens +
                          aModel.mOutputCostPerToken * aInput.mOutputTokens),
  };
  for (const auto& time : aInput.mStepTimes) {
    if (time.mModel == aModel.mName) {
      candidate.mExpectedMs = time.mExpectedMs;
    }
  }
  return candidate;
}

std::vector<Candidate>
CollectCandidates(const Configuration& aConfig,
                  const Customer& aCustomer,
                  const RatingTable& aRatings,
                  const PlanInput& aInput,
                  const CascadeOptions& aOptions,
                  std::mt19937_64& aRandom)
{
  std::vector<Candidate> candidates;
  for (const auto& model : aConfig.mModels) {
    if (!aInput.mModel.empty() && aInput.mModel != model.mName) {
      continue;
    }
    const Version* version =
      DrawVersion(aConfig, aCustomer, model, aInput, aOptions, aRandom);
    if (version) {
      candidates.push_back(
        MakeCandidate(model, *version, aRatings, aInput, aOptions));
    }
  }
  return candidates;
}

// Removes candidates with fewer than `mProvenRatings` ratings in the class,
// except for the model with the highest configured quality. Nothing corrects a
// wrong estimate while no ratings come in.
void
RemoveUnproven(std::vector<Candidate>& aCandidates,
               const CascadeOptions& aOptions)
{
  auto best =
    std::max_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.mModel->mQuality < aRight.mModel->mQuality;
                     });
  const Model* bestModel = best->mModel;
  std::erase_if(aCandidates, [&](const Candidate& aCandidate) {
    return aCandidate.mModel != bestModel &&
           aCandidate.mRate.mRatings < aOptions.mProvenRatings;
  });
}

Choice
SingleStep(const Candidate& aCandidate)
{
  return { .mFirst = &aCandidate,
           .mQuality = aCandidate.mRate.mMean,
           .mLowerBound = aCandidate.mRate.mLowerBound,
           .mCost = aCandidate.mCost,
           .mExpectedMs = aCandidate.mExpectedMs,
           .mRatings = aCandidate.mRate.mRatings };
}

// A cascade takes the time of both steps and of the rating between them; the
// second step costs only when the first fails.
Choice
TwoSteps(const Candidate& aFirst,
         const Candidate& aSecond,
         const RatingTable& aRatings,
         const PlanInput& aInput,
         const CascadeOptions& aOptions)
{
  PassRate after = SecondStepPassRate(
    aSecond, aFirst, aRatings, ClassIndex(aInput.mClass), aOptions);
  auto eitherPasses = [](double aLeft, double aRight) {
    return aLeft + (1 - aLeft) * aRight;
  };
  return { .mFirst = &aFirst,
           .mSecond = &aSecond,
           .mQuality = eitherPasses(aFirst.mRate.mMean, after.mMean),
           .mLowerBound =
             eitherPasses(aFirst.mRate.mLowerBound, after.mLowerBound),
           .mCost = aFirst.mCost + (1 - aFirst.mRate.mMean) * aSecond.mCost,
           .mExpectedMs =
             aFirst.mExpectedMs + aInput.mRatingMs + aSecond.mExpectedMs,
           .mRatings = after.mRatings };
}

bool
MayCascade(const Configuration& aConfig, const PlanInput& aInput)
{
  return !aInput.mStream && aInput.mRatingUp &&
         PresetInForce(aConfig).mMaxSteps >= 2;
}

std::vector<Choice>
ListChoices(const Configuration& aConfig,
            const std::vector<Candidate>& aCandidates,
            const RatingTable& aRatings,
            const PlanInput& aInput,
            const CascadeOptions& aOptions)
{
  std::vector<Choice> choices;
  for (const auto& first : aCandidates) {
    choices.push_back(SingleStep(first));
    if (!MayCascade(aConfig, aInput)) {
      continue;
    }
    for (const auto& second : aCandidates) {
      if (&second != &first && second.mRate.mMean > first.mRate.mMean) {
        choices.push_back(TwoSteps(first, second, aRatings, aInput, aOptions));
      }
    }
  }
  return choices;
}

// The first minimum among the choices for which a predicate holds, or null.
template<class Holds, class Less>
const Choice*
FindMinimum(const std::vector<Choice>& aChoices, Holds aHolds, Less aLess)
{
  const Choice* best = nullptr;
  for (const auto& choice : aChoices) {
    if (aHolds(choice) && (!best || aLess(choice, *best))) {
      best = &choice;
    }
  }
  return best;
}

struct SelectedChoice
{
  const Choice* mChoice = nullptr;
  const char* mReason = "";
};

// Selects the cheapest choice that meets target and deadline. Where none does,
// the preset's `mGiveWay` decides: Deadline selects the cheapest choice that
// meets the target, Quality the best one within the deadline that costs no more
// than that choice, Cost the best one within the deadline at any cost.
SelectedChoice
SelectChoice(const Preset& aPreset,
             const std::vector<Choice>& aChoices,
             TimeMs aRemainingMs)
{
  auto any = [](const Choice&) { return true; };
  auto inTime = [&](const Choice& aChoice) {
    return aChoice.mExpectedMs <= aRemainingMs;
  };
  auto meetsTarget = [&](const Choice& aChoice) {
    return aChoice.mLowerBound >= aPreset.mQualityTarget;
  };
  auto meetsBoth = [&](const Choice& aChoice) {
    return inTime(aChoice) && meetsTarget(aChoice);
  };
  auto cheaper = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mCost < aRight.mCost;
  };
  auto better = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mLowerBound > aRight.mLowerBound;
  };
  auto faster = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mExpectedMs < aRight.mExpectedMs;
  };
  // 1. Some choice meets both.
  if (const Choice* choice = FindMinimum(aChoices, meetsBoth, cheaper)) {
    return { choice, "cheapest that meets the target in time" };
  }
  // 2. The preset's `mGiveWay` decides what is given up.
  const Choice* withoutDeadline = FindMinimum(aChoices, meetsTarget, cheaper);
  if (aPreset.mGiveWay == GiveWay::Deadline && withoutDeadline) {
    return { withoutDeadline, "the deadline gives way to quality" };
  }
  if (aPreset.mGiveWay == GiveWay::Quality) {
    auto affordable = [&](const Choice& aChoice) {
      return inTime(aChoice) &&
             (!withoutDeadline || aChoice.mCost <= withoutDeadline->mCost);
    };
    if (const Choice* choice = FindMinimum(aChoices, affordable, better)) {
      return { choice, "quality gives way to cost and deadline" };
    }
    if (const Choice* choice = FindMinimum(aChoices, inTime, cheaper)) {
      return { choice, "quality gives way, cheapest in time" };
    }
  }
  if (const Choice* choice = FindMinimum(aChoices, inTime, better)) {
    return { choice, "no choice meets the target in time, best in time" };
  }
  if (aPreset.mGiveWay == GiveWay::Deadline) {
    return { FindMinimum(aChoices, any, better),
             "nothing meets the target, best" };
  }
  return { FindMinimum(aChoices, any, faster), "nothing is in time, fastest" };
}

// The cheapest choice that costs less than the selected one and whose upper
// bound meets the target, or null. Only such a choice can lower the cost.
const Choice*
PromisingChoice(const std::vector<Choice>& aChoices,
                const Choice& aSelected,
                double aTarget,
                TimeMs aRemainingMs)
{
  return FindMinimum(
    aChoices,
    [&](const Choice& aChoice) {
      double margin = aChoice.mQuality - aChoice.mLowerBound;
      return aChoice.mCost < aSelected.mCost &&
             aChoice.mExpectedMs <= aRemainingMs &&
             aChoice.mQuality + kUpperBoundMargins * margin >= aTarget;
    },
    [](const Choice& aLeft, const Choice& aRight) {
      return aLeft.mCost < aRight.mCost;
    });
}

// The choice that a request explores, or null. A promising choice is explored
// more often than the candidate with the fewest ratings, which only has to stay
// rated.
const Choice*
ExplorationChoice(const std::vector<Choice>& aChoices,
                  const Choice& aSelected,
                  const PlanInput& aInput,
                  double aTarget,
                  double aDraw,
                  const CascadeOptions& aOptions)
{
  if (!aInput.mRatingUp) {
    return nullptr;
  }
  const Choice* promising =
    PromisingChoice(aChoices, aSelected, aTarget, aInput.mRemainingMs);
  if (promising) {
    return aDraw < aOptions.mPromisingShare ? promising : nullptr;
  }
  if (aDraw >= aOptions.mExplorationShare) {
    return nullptr;
  }
  return FindMinimum(
    aChoices,
    [&](const Choice& aChoice) {
      return !aChoice.mSecond && aChoice.mExpectedMs <= aInput.mRemainingMs;
    },
    [](const Choice& aLeft, const Choice& aRight) {
      return aLeft.mRatings < aRight.mRatings;
    });
}

Step
ToStep(const Candidate& aCandidate)
{
  return { aCandidate.mModel->mName,
           aCandidate.mVersion->mName,
           aCandidate.mRate.mMean,
           aCandidate.mCost,
           aCandidate.mExpectedMs };
}

std::string
PlanReason(const Choice& aChoice,
           const PlanInput& aInput,
           double aTarget,
           const char* aSelectionReason)
{
  char numbers[160];
  std::snprintf(numbers,
                sizeof numbers,
                "expected quality %.3f (lower bound %.3f, target %.3f), cost "
                "%.0f, %lld of %lld ms",
                aChoice.mQuality,
                aChoice.mLowerBound,
                aTarget,
                aChoice.mCost,
                static_cast<long long>(aChoice.mExpectedMs),
                static_cast<long long>(aInput.mRemainingMs));
  std::string text =
    ClassName(aInput.mClass) + ": " + aChoice.mFirst->mQualifiedVersion;
  if (aChoice.mSecond) {
    text += ", on a failed rating " + aChoice.mSecond->mQualifiedVersion;
  }
  text += "; ";
  text += aSelectionReason;
  if (aInput.mStream) {
    text += ", stream";
  }
  if (!aInput.mRatingUp) {
    text += ", rating service down";
  }
  return text + "; " + numbers;
}

// The error code for a request that no version may serve.
ErrorCode
NoCandidateCode(const Configuration& aConfig,
                const Customer& aCustomer,
                const PlanInput& aInput)
{
  if (!aInput.mModel.empty() && !FindModel(aConfig, aInput.mModel)) {
    return ErrorCode::UnknownModel;
  }
  ErrorCode code = ErrorCode::NotAllowed;
  for (const auto& model : aConfig.mModels) {
    if (!aInput.mModel.empty() && aInput.mModel != model.mName) {
      continue;
    }
    for (const auto& version : model.mVersions) {
      auto refusal = CheckPermission(
        aConfig, aCustomer, model.mName, version.mName, WorkKind::New);
      if (!refusal) {
        return ErrorCode::NoBackend;
      }
      if (*refusal == ErrorCode::VersionWithdrawn) {
        code = *refusal;
      }
    }
  }
  return code;
}

// The step with the highest pass rate that may run in place of the planned
// second one, or nothing.
std::optional<Step>
ReplacementStep(const Configuration& aConfig,
                const Customer& aCustomer,
                const RatingTable& aRatings,
                const Step& aFirst,
                const PlanInput& aInput,
                const CascadeOptions& aOptions)
{
  std::optional<Step> best;
  for (const auto& model : aConfig.mModels) {
    for (const auto& version : model.mVersions) {
      std::string qualifiedVersion =
        QualifiedVersion(model.mName, version.mName);
      if (version.mState == VersionState::Candidate ||
          CheckPermission(aConfig,
                          aCustomer,
                          model.mName,
                          version.mName,
                          WorkKind::New,
                          aOptions.mChecks) ||
          qualifiedVersion ==
            QualifiedVersion(aFirst.mModel, aFirst.mVersion) ||
          Contains(aInput.mExcluded, qualifiedVersion)) {
        continue;
      }
      Step step =
        ToStep(MakeCandidate(model, version, aRatings, aInput, aOptions));
      if (!best || step.mPassRate > best->mPassRate) {
        best = step;
      }
    }
  }
  return best;
}

} // namespace

PassRate
EstimatePassRate(const Model& aModel,
                 std::string_view aVersion,
                 const RatingTable& aRatings,
                 int aClass,
                 const CascadeOptions& aOptions)
{
  PassRate rate{ aModel.mQuality, aModel.mQuality, 0 };
  for (const auto& version : aModel.mVersions) {
    rate = Posterior(
      rate.mMean,
      aOptions.mPriorRatings,
      FindCounts(aRatings,
                 { aClass, QualifiedVersion(aModel.mName, version.mName), "" }),
      aOptions.mLowerBoundDeviations);
    if (version.mName == aVersion) {
      break;
    }
  }
  return rate;
}

tl::expected<Plan, ErrorCode>
PlanRequest(const Configuration& aConfig,
            const Customer& aCustomer,
            const RatingTable& aRatings,
            const PlanInput& aInput,
            const CascadeOptions& aOptions,
            std::mt19937_64& aRandom)
{
  // 1. The versions that the customer may use and that take new work.
  auto candidates =
    CollectCandidates(aConfig, aCustomer, aRatings, aInput, aOptions, aRandom);
  if (candidates.empty()) {
    return tl::unexpected(NoCandidateCode(aConfig, aCustomer, aInput));
  }
  if (!aInput.mRatingUp) {
    RemoveUnproven(candidates, aOptions);
  }
  // 2. List single steps and cascades, and select one.
  const Preset& preset = PresetInForce(aConfig);
  auto choices = ListChoices(aConfig, candidates, aRatings, aInput, aOptions);
  SelectedChoice selected = SelectChoice(preset, choices, aInput.mRemainingMs);
  Choice choice = *selected.mChoice;
  // 3. Explore with a share of the requests, so that all versions stay rated.
  double draw = std::uniform_real_distribution<>(0, 1)(aRandom);
  const Choice* exploration = ExplorationChoice(
    choices, choice, aInput, preset.mQualityTarget, draw, aOptions);
  if (exploration) {
    choice = *exploration;
    selected.mReason = "exploration";
  }
  // 4. The plan and its explanation.
  Plan plan{ .mSteps = { ToStep(*choice.mFirst) },
             .mQuality = choice.mQuality,
             .mCost = choice.mCost,
             .mExpectedMs = choice.mExpectedMs,
             .mExploration = exploration != nullptr,
             .mRateAnswer =
               aInput.mRatingUp &&
               (exploration || choice.mRatings < aOptions.mWantedRatings),
             .mReason = PlanReason(
               choice, aInput, preset.mQualityTarget, selected.mReason) };
  if (choice.mSecond) {
    plan.mSteps.push_back(ToStep(*choice.mSecond));
  }
  return plan;
}

StepDecision
DecideAfterStep(const Configuration& aConfig,
                const Customer& aCustomer,
                const RatingTable& aRatings,
                const Plan& aPlan,
                std::optional<bool> aPassed,
                const PlanInput& aInput,
                const CascadeOptions& aOptions)
{
  const Preset& preset = PresetInForce(aConfig);
  const Step& first = aPlan.mSteps.front();
  std::string firstVersion = QualifiedVersion(first.mModel, first.mVersion);
  if (aPlan.mSteps.size() < 2) {
    return { StepAction::Deliver, {}, "single step" };
  }
  if (aPassed.value_or(false)) {
    return { StepAction::Deliver, {}, firstVersion + " passed its rating" };
  }
  // 1. Without a rating, the learned pass rate decides.
  if (!aPassed && first.mPassRate >= preset.mQualityTarget) {
    return { StepAction::Deliver,
             {},
             "no rating in time, " + firstVersion +
               " meets the target by its learned pass rate" };
  }
  std::string reason = aPassed ? firstVersion + " failed its rating"
                               : "no rating of " + firstVersion + " in time";
  // 2. The planned second step, or a replacement when it may not run now.
  std::optional<Step> next = aPlan.mSteps[1];
  if (CheckPermission(aConfig,
                      aCustomer,
                      next->mModel,
                      next->mVersion,
                      WorkKind::New,
                      aOptions.mChecks) ||
      Contains(aInput.mExcluded,
               QualifiedVersion(next->mModel, next->mVersion))) {
    next =
      ReplacementStep(aConfig, aCustomer, aRatings, first, aInput, aOptions);
    reason += ", planned step not available";
  }
  if (!next) {
    return { StepAction::Deliver, {}, reason + ", no step left" };
  }
  for (const auto& time : aInput.mStepTimes) {
    if (time.mModel == next->mModel) {
      next->mExpectedMs = time.mExpectedMs;
    }
  }
  // 3. A late answer is worth less than the present one, unless the preset lets
  // the deadline give way.
  if (next->mExpectedMs > aInput.mRemainingMs &&
      preset.mGiveWay != GiveWay::Deadline) {
    return { StepAction::Deliver, {}, reason + ", no time for another step" };
  }
  return { StepAction::Escalate,
           *next,
           reason + ", next " +
             QualifiedVersion(next->mModel, next->mVersion) };
}

RatingKey
MakeRatingKey(const Plan& aPlan, std::size_t aStep, const RequestClass& aClass)
{
  auto versionAt = [&](std::size_t aIndex) {
    const Step& step = aPlan.mSteps[aIndex];
    return QualifiedVersion(step.mModel, step.mVersion);
  };
  return { ClassIndex(aClass),
           versionAt(aStep),
           aStep == 0 ? "" : versionAt(0) };
}

} // namespace savory
