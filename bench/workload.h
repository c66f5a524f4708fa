#pragma once

#include "savory/core/cascade.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savory::bench {

// Synthetic traffic of one deployment for a day. The router does not see the
// true pass rates; only the bounds and the results use them.
inline constexpr int kModelCount = 3;
inline constexpr std::array<const char*, kModelCount> kModelNames{ "small",
                                                                   "medium",
                                                                   "large" };
inline constexpr TimeMs kDayMs = 24 * 3600 * 1000LL;
inline constexpr double kRequestsPerSecond = 2;
inline constexpr double kStreamRatio = 0.2;
// Share of requests whose difficulty is common to all models. On the others,
// the models pass independently of each other.
inline constexpr double kCommonDifficultyRatio = 0.3;

// The rating service. A rating that a cascade waits for takes 400 ms, and 2%
// come too late. Of other answers, 15% are rated, or 90% of those for which a
// rating is requested, after 60 s on average. 1% of ratings are wrong. The
// service is down from 12:00 to 13:00.
inline constexpr TimeMs kCascadeRatingMs = 400;
inline constexpr double kLateRatingRatio = 0.02;
inline constexpr double kSparseRatingRatio = 0.15;
inline constexpr double kRequestedRatingRatio = 0.9;
inline constexpr double kMeanRatingDelayMs = 60000;
inline constexpr double kWrongRatingRatio = 0.01;
inline constexpr TimeMs kRatingOutageStartMs = 12 * 3600 * 1000LL;
inline constexpr TimeMs kRatingOutageEndMs = 13 * 3600 * 1000LL;

// The target version small@v2 replaces the baseline version small@v1 at 08:00.
inline constexpr TimeMs kVersionChangeMs = 8 * 3600 * 1000LL;

// A request class: its share of the requests, mean tokens, and the true pass
// rates of each model with the baseline version and with the target version.
struct ClassTruth
{
  RequestClass mClass;
  double mWeight = 0;
  double mInputTokens = 0;
  double mOutputTokens = 0;
  std::array<double, kModelCount> mBaselineRates{};
  std::array<double, kModelCount> mTargetRates{};
};

struct Workload
{
  std::string mName;
  std::vector<ClassTruth> mClasses;
  // Factor on the step times at the daily peak.
  double mPeakLoad = 1;
};

const std::vector<Workload>&
Deployments();

// The models, presets and one customer of the deployments' example
// configurations.
Configuration
MakeBenchConfiguration();

// A request and, for each model, whether its answer would pass, the cost of a
// step in micros, and its duration.
struct BenchRequest
{
  TimeMs mArrivalMs = 0;
  const ClassTruth* mTruth = nullptr;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  bool mStream = false;
  bool mRatingLate = false;
  bool mRatingWrong = false;
  std::array<bool, kModelCount> mPasses{};
  std::array<double, kModelCount> mCost{};
  std::array<TimeMs, kModelCount> mStepMs{};
};

std::vector<BenchRequest>
MakeRequests(const Workload& aWorkload, std::uint64_t aSeed);

// The true pass rates of each model at a time.
const std::array<double, kModelCount>&
TruePassRates(const ClassTruth& aTruth, TimeMs aTimeMs);

// The expected share of passing answers of a single step with the model
// aFirstModel, or of a cascade when aSecondModel is not negative. It accounts
// for late and wrong ratings. aDeliverLate says whether the first answer is
// delivered when its rating is late.
double
ExpectedQuality(const std::array<double, kModelCount>& aRates,
                int aFirstModel,
                int aSecondModel,
                bool aDeliverLate);

bool
IsRatingAvailable(TimeMs aTimeMs);

} // namespace savory::bench
