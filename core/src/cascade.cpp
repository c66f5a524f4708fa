#include "savory/core/cascade.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace savory {

namespace {

// A prior at 0 or 1 would never learn from ratings.
constexpr double kLowestPrior = 0.02;
constexpr double kHighestPrior = 0.98;

// Ratings that the marginal pass rate counts as, as the prior of a version
// that answers after a failed step.
constexpr double kAfterPriorRatings = 10;

// Margins between mean and cautious estimate that an exploration adds.
constexpr double kOptimism = 2;

// A version that one model contributes to a plan.
struct Candidate
{
  const Model* mModel = nullptr;
  const Version* mVersion = nullptr;
  std::string mText;
  PassRate mRate;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
};

// One or two steps with their expected quality, cost and time.
struct Choice
{
  const Candidate* mFirst = nullptr;
  const Candidate* mSecond = nullptr;
  double mQuality = 0;
  double mCautious = 0;
  double mCost = 0;
  TimeMs mExpectedMs = 0;
  std::int64_t mRatings = 0;
};

PassRate
Posterior(double aPrior,
          double aPriorRatings,
          const RatingCounts& aCounts,
          double aCaution)
{
  double prior = std::clamp(aPrior, kLowestPrior, kHighestPrior);
  double passed = prior * aPriorRatings + static_cast<double>(aCounts.mPassed);
  double weight = aPriorRatings + static_cast<double>(TotalOf(aCounts));
  double mean = passed / weight;
  double deviation = std::sqrt(mean * (1 - mean) / (weight + 1));
  return { mean, std::max(0.0, mean - aCaution * deviation), TotalOf(aCounts) };
}

// The pass rate of a version on requests that another version failed.
PassRate
PassRateAfter(const Candidate& aSecond,
              const Candidate& aFirst,
              const RatingTable& aRatings,
              int aClass,
              const CascadeOptions& aOptions)
{
  return Posterior(aSecond.mRate.mMean,
                   kAfterPriorRatings,
                   CountsOf(aRatings, { aClass, aSecond.mText, aFirst.mText }),
                   aOptions.mCaution);
}

bool
Contains(const std::vector<std::string>& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

// Draws the version of a model that new work goes to: a candidate by its
// share, else one of the serving versions by equal parts. Candidates receive
// nothing without the rating service, because nothing could stop them.
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
                  VersionText(aModel.mName, version.mName)))) {
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
    .mText = VersionText(aModel.mName, aVersion.mName),
    .mRate = PassRateOf(
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

// Drops what is not proven in the class, but for the model of the best prior.
// Nothing corrects a wrong estimate while no ratings come in.
void
KeepProven(std::vector<Candidate>& aCandidates, const CascadeOptions& aOptions)
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
           .mCautious = aCandidate.mRate.mCautious,
           .mCost = aCandidate.mCost,
           .mExpectedMs = aCandidate.mExpectedMs,
           .mRatings = aCandidate.mRate.mRatings };
}

// Two steps take the time of both and of the rating between them; the second
// is paid for only when the first fails.
Choice
TwoSteps(const Candidate& aFirst,
         const Candidate& aSecond,
         const RatingTable& aRatings,
         const PlanInput& aInput,
         const CascadeOptions& aOptions)
{
  PassRate after = PassRateAfter(
    aSecond, aFirst, aRatings, ClassIndex(aInput.mClass), aOptions);
  auto both = [](double aLeft, double aRight) {
    return aLeft + (1 - aLeft) * aRight;
  };
  return { .mFirst = &aFirst,
           .mSecond = &aSecond,
           .mQuality = both(aFirst.mRate.mMean, after.mMean),
           .mCautious = both(aFirst.mRate.mCautious, after.mCautious),
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

// The first of the least choices for which a predicate holds, or null.
template<class Holds, class Less>
const Choice*
Least(const std::vector<Choice>& aChoices, Holds aHolds, Less aLess)
{
  const Choice* best = nullptr;
  for (const auto& choice : aChoices) {
    if (aHolds(choice) && (!best || aLess(choice, *best))) {
      best = &choice;
    }
  }
  return best;
}

struct Picked
{
  const Choice* mChoice = nullptr;
  const char* mWhy = "";
};

// Picks the cheapest choice that meets target and deadline. Where none does,
// the preset says what gives way: its cost (best quality within the deadline),
// its quality (best quality within the deadline at no more than the cost
// without one) or its deadline (cheapest choice that meets the target).
Picked
PickChoice(const Preset& aPreset,
           const std::vector<Choice>& aChoices,
           TimeMs aRemainingMs)
{
  auto any = [](const Choice&) { return true; };
  auto inTime = [&](const Choice& aChoice) {
    return aChoice.mExpectedMs <= aRemainingMs;
  };
  auto meets = [&](const Choice& aChoice) {
    return aChoice.mCautious >= aPreset.mQualityTarget;
  };
  auto both = [&](const Choice& aChoice) {
    return inTime(aChoice) && meets(aChoice);
  };
  auto cheaper = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mCost < aRight.mCost;
  };
  auto better = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mCautious > aRight.mCautious;
  };
  auto faster = [](const Choice& aLeft, const Choice& aRight) {
    return aLeft.mExpectedMs < aRight.mExpectedMs;
  };
  // 1. The ordinary case.
  if (const Choice* choice = Least(aChoices, both, cheaper)) {
    return { choice, "cheapest that meets the target in time" };
  }
  // 2. Something has to give way.
  const Choice* unhurried = Least(aChoices, meets, cheaper);
  if (aPreset.mGiveWay == GiveWay::Deadline && unhurried) {
    return { unhurried, "the deadline gives way to quality" };
  }
  if (aPreset.mGiveWay == GiveWay::Quality) {
    auto affordable = [&](const Choice& aChoice) {
      return inTime(aChoice) &&
             (!unhurried || aChoice.mCost <= unhurried->mCost);
    };
    if (const Choice* choice = Least(aChoices, affordable, better)) {
      return { choice, "quality gives way to cost and deadline" };
    }
    if (const Choice* choice = Least(aChoices, inTime, cheaper)) {
      return { choice, "quality gives way, cheapest in time" };
    }
  }
  if (const Choice* choice = Least(aChoices, inTime, better)) {
    return { choice, "no choice meets the target in time, best in time" };
  }
  if (aPreset.mGiveWay == GiveWay::Deadline) {
    return { Least(aChoices, any, better), "nothing meets the target, best" };
  }
  return { Least(aChoices, any, faster), "nothing is in time, fastest" };
}

// The cheapest choice that costs less than the pick and may meet the target
// for all that is known of it, or null. Only such a choice can lower the cost.
const Choice*
PromisingChoice(const std::vector<Choice>& aChoices,
                const Choice& aPicked,
                double aTarget,
                TimeMs aRemainingMs)
{
  return Least(
    aChoices,
    [&](const Choice& aChoice) {
      double margin = aChoice.mQuality - aChoice.mCautious;
      return aChoice.mCost < aPicked.mCost &&
             aChoice.mExpectedMs <= aRemainingMs &&
             aChoice.mQuality + kOptimism * margin >= aTarget;
    },
    [](const Choice& aLeft, const Choice& aRight) {
      return aLeft.mCost < aRight.mCost;
    });
}

// The choice that one request explores, or null. A promising choice is tried
// more often than the least rated candidate, which is only kept rated.
const Choice*
ExplorationChoice(const std::vector<Choice>& aChoices,
                  const Choice& aPicked,
                  const PlanInput& aInput,
                  double aTarget,
                  double aDraw,
                  const CascadeOptions& aOptions)
{
  if (!aInput.mRatingUp) {
    return nullptr;
  }
  const Choice* promising =
    PromisingChoice(aChoices, aPicked, aTarget, aInput.mRemainingMs);
  if (promising) {
    return aDraw < aOptions.mPromisingShare ? promising : nullptr;
  }
  if (aDraw >= aOptions.mExplorationShare) {
    return nullptr;
  }
  return Least(
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
           const char* aWhy)
{
  char numbers[160];
  std::snprintf(numbers,
                sizeof numbers,
                "expected quality %.3f (cautious %.3f, target %.3f), cost "
                "%.0f, %lld of %lld ms",
                aChoice.mQuality,
                aChoice.mCautious,
                aTarget,
                aChoice.mCost,
                static_cast<long long>(aChoice.mExpectedMs),
                static_cast<long long>(aInput.mRemainingMs));
  std::string text = ClassText(aInput.mClass) + ": " + aChoice.mFirst->mText;
  if (aChoice.mSecond) {
    text += ", on a failed rating " + aChoice.mSecond->mText;
  }
  text += "; ";
  text += aWhy;
  if (aInput.mStream) {
    text += ", stream";
  }
  if (!aInput.mRatingUp) {
    text += ", rating service down";
  }
  return text + "; " + numbers;
}

// Why a customer has nothing to run on.
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

// A step that may still run now in place of the planned second one.
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
      std::string text = VersionText(model.mName, version.mName);
      if (version.mState == VersionState::Candidate ||
          CheckPermission(aConfig,
                          aCustomer,
                          model.mName,
                          version.mName,
                          WorkKind::New,
                          aOptions.mChecks) ||
          text == VersionText(aFirst.mModel, aFirst.mVersion) ||
          Contains(aInput.mExcluded, text)) {
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
PassRateOf(const Model& aModel,
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
      CountsOf(aRatings,
               { aClass, VersionText(aModel.mName, version.mName), "" }),
      aOptions.mCaution);
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
  // 1. What the customer may use and what takes new work.
  auto candidates =
    CollectCandidates(aConfig, aCustomer, aRatings, aInput, aOptions, aRandom);
  if (candidates.empty()) {
    return tl::unexpected(NoCandidateCode(aConfig, aCustomer, aInput));
  }
  if (!aInput.mRatingUp) {
    KeepProven(candidates, aOptions);
  }
  // 2. Single steps and cascades, and the pick among them.
  const Preset& preset = PresetInForce(aConfig);
  auto choices = ListChoices(aConfig, candidates, aRatings, aInput, aOptions);
  Picked picked = PickChoice(preset, choices, aInput.mRemainingMs);
  Choice choice = *picked.mChoice;
  // 3. A share of the requests keeps all versions rated.
  double draw = std::uniform_real_distribution<>(0, 1)(aRandom);
  const Choice* trial = ExplorationChoice(
    choices, choice, aInput, preset.mQualityTarget, draw, aOptions);
  if (trial) {
    choice = *trial;
    picked.mWhy = "exploration";
  }
  // 4. The plan and its explanation.
  Plan plan{
    .mSteps = { ToStep(*choice.mFirst) },
    .mQuality = choice.mQuality,
    .mCost = choice.mCost,
    .mExpectedMs = choice.mExpectedMs,
    .mExploration = trial != nullptr,
    .mRateAnswer =
      aInput.mRatingUp && (trial || choice.mRatings < aOptions.mWantedRatings),
    .mReason = PlanReason(choice, aInput, preset.mQualityTarget, picked.mWhy)
  };
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
  std::string firstText = VersionText(first.mModel, first.mVersion);
  if (aPlan.mSteps.size() < 2) {
    return { AfterStep::Deliver, {}, "single step" };
  }
  if (aPassed.value_or(false)) {
    return { AfterStep::Deliver, {}, firstText + " passed its rating" };
  }
  // 1. Without a rating the learned pass rate stands in for it.
  if (!aPassed && first.mPassRate >= preset.mQualityTarget) {
    return { AfterStep::Deliver,
             {},
             "no rating in time, " + firstText +
               " meets the target on its record" };
  }
  std::string why = aPassed ? firstText + " failed its rating"
                            : "no rating of " + firstText + " in time";
  // 2. The second step, or another one when it may not run any more.
  std::optional<Step> next = aPlan.mSteps[1];
  if (CheckPermission(aConfig,
                      aCustomer,
                      next->mModel,
                      next->mVersion,
                      WorkKind::New,
                      aOptions.mChecks) ||
      Contains(aInput.mExcluded, VersionText(next->mModel, next->mVersion))) {
    next =
      ReplacementStep(aConfig, aCustomer, aRatings, first, aInput, aOptions);
    why += ", planned step not available";
  }
  if (!next) {
    return { AfterStep::Deliver, {}, why + ", no step left" };
  }
  for (const auto& time : aInput.mStepTimes) {
    if (time.mModel == next->mModel) {
      next->mExpectedMs = time.mExpectedMs;
    }
  }
  // 3. A late answer is worth less than the one at hand, unless the preset
  // says that the deadline gives way.
  if (next->mExpectedMs > aInput.mRemainingMs &&
      preset.mGiveWay != GiveWay::Deadline) {
    return { AfterStep::Deliver, {}, why + ", no time for another step" };
  }
  return { AfterStep::Escalate,
           *next,
           why + ", next " + VersionText(next->mModel, next->mVersion) };
}

RatingKey
RatingKeyOf(const Plan& aPlan, std::size_t aStep, const RequestClass& aClass)
{
  auto text = [&](std::size_t aIndex) {
    const Step& step = aPlan.mSteps[aIndex];
    return VersionText(step.mModel, step.mVersion);
  };
  return { ClassIndex(aClass), text(aStep), aStep == 0 ? "" : text(0) };
}

} // namespace savory
