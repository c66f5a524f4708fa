#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace savory::bench {

namespace {

constexpr std::array<Micros, kModelCount> kInputCostPerToken{ 1, 4, 15 };
constexpr std::array<Micros, kModelCount> kOutputCostPerToken{ 4, 16, 60 };
constexpr std::array<double, kModelCount> kQuality{ 0.78, 0.9, 0.97 };
constexpr std::array<double, kModelCount> kDecodeMsPerToken{ 6, 9, 16 };
constexpr std::array<double, kModelCount> kPrefillMsPerThousandTokens{ 60,
                                                                       100,
                                                                       200 };
constexpr double kOutputTokensSigma = 0.3;
constexpr double kMsPerHour = 3600000;

// The factor on step times: 1 at night, mPeakLoad at 13:00.
double
LoadFactor(const Workload& aWorkload, TimeMs aTimeMs)
{
  double hour = static_cast<double>(aTimeMs) / kMsPerHour;
  double wave = std::sin(std::numbers::pi * (hour - 7) / 12);
  return 1 + (aWorkload.mPeakLoad - 1) * std::max(0.0, wave);
}

} // namespace

const std::vector<Workload>&
Deployments()
{
  using enum SizeClass;
  static const std::vector<Workload> kDeployments{
    // Short questions about gear, summaries of lending records, and damage
    // reports from long inspection histories.
    { "gulfway",
      { { { Short, false },
          0.55,
          80,
          120,
          { 0.93, 0.955, 0.98 },
          { 0.945, 0.955, 0.98 } },
        { { Middle, false },
          0.30,
          900,
          300,
          { 0.82, 0.93, 0.97 },
          { 0.86, 0.93, 0.97 } },
        { { Long, false },
          0.15,
          6000,
          700,
          { 0.62, 0.86, 0.955 },
          { 0.68, 0.86, 0.955 } } },
      1.5 },
    // Short workbench questions, assessments of lume and lacquer with and
    // without images, and long dossiers with images.
    { "bengal",
      { { { Short, false },
          0.40,
          70,
          90,
          { 0.95, 0.965, 0.985 },
          { 0.94, 0.965, 0.985 } },
        { { Middle, false },
          0.20,
          800,
          250,
          { 0.80, 0.92, 0.965 },
          { 0.84, 0.92, 0.965 } },
        { { Middle, true },
          0.25,
          1500,
          250,
          { 0.55, 0.88, 0.96 },
          { 0.60, 0.88, 0.96 } },
        { { Long, true },
          0.15,
          9000,
          600,
          { 0.40, 0.78, 0.945 },
          { 0.48, 0.78, 0.945 } } },
      1.4 },
  };
  return kDeployments;
}

Configuration
MakeBenchConfiguration()
{
  Configuration config;
  Customer customer;
  customer.mName = "bench";
  for (std::size_t i = 0; i < kModelCount; ++i) {
    Model model;
    model.mName = kModelNames[i];
    model.mInputCostPerToken = kInputCostPerToken[i];
    model.mOutputCostPerToken = kOutputCostPerToken[i];
    model.mQuality = kQuality[i];
    model.mVersions = { { "v1", VersionState::Serving, 0 } };
    config.mModels.push_back(model);
    customer.mAllowedModels.push_back(model.mName);
  }
  config.mCustomers.push_back(customer);
  config.mPresets = { { "ordinary", 0.9, 30000, GiveWay::Cost, 0, 2 } };
  config.mPresetInForce = "ordinary";
  return config;
}

std::vector<BenchRequest>
MakeRequests(const Workload& aWorkload, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<> uniform(0, 1);
  std::exponential_distribution<> gapMs(kRequestsPerSecond / 1000);
  std::lognormal_distribution<> outputFactor(0, kOutputTokensSigma);
  std::vector<double> weights;
  for (const auto& truth : aWorkload.mClasses) {
    weights.push_back(truth.mWeight);
  }
  std::discrete_distribution<std::size_t> pickClass(weights.begin(),
                                                    weights.end());
  std::vector<BenchRequest> requests;
  double arrivalMs = gapMs(random);
  for (; arrivalMs < static_cast<double>(kDayMs); arrivalMs += gapMs(random)) {
    BenchRequest request;
    request.mArrivalMs = static_cast<TimeMs>(arrivalMs);
    request.mTruth = &aWorkload.mClasses[pickClass(random)];
    request.mInputTokens = std::lround(request.mTruth->mInputTokens);
    request.mOutputTokens =
      std::lround(request.mTruth->mOutputTokens * outputFactor(random));
    request.mStream = uniform(random) < kStreamRatio;
    request.mRatingLate = uniform(random) < kLateRatingRatio;
    request.mRatingWrong = uniform(random) < kWrongRatingRatio;
    bool commonDifficulty = uniform(random) < kCommonDifficultyRatio;
    double commonDraw = uniform(random);
    double loadFactor = LoadFactor(aWorkload, request.mArrivalMs);
    const auto& rates = TruePassRates(*request.mTruth, request.mArrivalMs);
    for (std::size_t i = 0; i < kModelCount; ++i) {
      double modelDraw = uniform(random);
      request.mPasses[i] =
        (commonDifficulty ? commonDraw : modelDraw) < rates[i];
      request.mCost[i] =
        static_cast<double>(kInputCostPerToken[i] * request.mInputTokens +
                            kOutputCostPerToken[i] * request.mOutputTokens);
      request.mStepMs[i] = static_cast<TimeMs>(
        loadFactor *
        (kPrefillMsPerThousandTokens[i] *
           static_cast<double>(request.mInputTokens) / 1000 +
         kDecodeMsPerToken[i] * static_cast<double>(request.mOutputTokens)));
    }
    requests.push_back(request);
  }
  return requests;
}

const std::array<double, kModelCount>&
TruePassRates(const ClassTruth& aTruth, TimeMs aTimeMs)
{
  return aTimeMs < kVersionChangeMs ? aTruth.mBaselineRates
                                    : aTruth.mTargetRates;
}

double
ExpectedQuality(const std::array<double, kModelCount>& aRates,
                int aFirstModel,
                int aSecondModel,
                bool aDeliverLate)
{
  double first = aRates[static_cast<std::size_t>(aFirstModel)];
  if (aSecondModel < 0) {
    return first;
  }
  double second = aRates[static_cast<std::size_t>(aSecondModel)];
  // 1. Probability that both models pass, and that only the second one does.
  double both = kCommonDifficultyRatio * std::min(first, second) +
                (1 - kCommonDifficultyRatio) * first * second;
  double onlySecond = second - both;
  // 2. Probability that the delivered answer passes. A cascade replaces
  // the first answer if it failed and its rating is right, or if it passed and
  // its rating is wrong.
  double ratedQuality = first * (1 - kWrongRatingRatio) +
                        both * kWrongRatingRatio +
                        onlySecond * (1 - kWrongRatingRatio);
  double lateQuality = aDeliverLate ? first : second;
  return ratedQuality * (1 - kLateRatingRatio) + lateQuality * kLateRatingRatio;
}

bool
IsRatingAvailable(TimeMs aTimeMs)
{
  return aTimeMs < kRatingOutageStartMs || aTimeMs >= kRatingOutageEndMs;
}

} // namespace savory::bench
