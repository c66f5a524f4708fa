#pragma once

#include "savory/core/cascade.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savory::bench {

// Synthetic traffic of one deployment for a day. The router never sees the
// true pass rates; they are stated here so that the bounds can use them.
inline constexpr int kModelCount = 3;
inline constexpr std::array<const char*, kModelCount> kModelNames{ "small",
                                                                   "medium",
                                                                   "large" };
inline constexpr TimeMs kDayMs = 24 * 3600 * 1000LL;
inline constexpr double kRequestsPerSecond = 2;
inline constexpr double kStreamRatio = 0.2;
// Share of requests whose difficulty is common to all models; for the others
// the models pass independently.
inline constexpr double kCommonDifficultyRatio = 0.3;

// The rating service: a rating that a cascade waits for takes 400 ms and comes
// late in 2% of cases; 15% of other answers are rated after 60 s on average;
// 1% of ratings are wrong. It is down from 12:00 to 13:00.
inline constexpr TimeMs kCascadeRatingMs = 400;
inline constexpr double kLateRatingRatio = 0.02;
inline constexpr double kSparseRatingRatio = 0.15;
inline constexpr double kRequestedRatingRatio = 0.9;
inline constexpr double kMeanRatingDelayMs = 60000;
inline constexpr double kWrongRatingRatio = 0.01;
inline constexpr TimeMs kRatingOutageStartMs = 12 * 3600 * 1000LL;
inline constexpr TimeMs kRatingOutageEndMs = 13 * 3600 * 1000LL;

// At 08:00 small@v2 replaces small@v1.
inline constexpr TimeMs kVersionChangeMs = 8 * 3600 * 1000LL;

// One class: its share of the requests, mean tokens, and true pass rates by
// model, once with small@v1 and once with small@v2.
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
  // Load factor of step times at the daily peak.
  double mPeakLoad = 1;
};

const std::vector<Workload>&
Deployments();

// The models, presets and one customer of the deployments' example files.
Configuration
MakeBenchConfiguration();

// One request with the outcome that each model would have.
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

// The true pass rates that hold at a time.
const std::array<double, kModelCount>&
TruePassRates(const ClassTruth& aTruth, TimeMs aTimeMs);

// The expected share of passing answers of one step, or of two when `aSecond`
// is a model, with the noise of ratings and late ratings. `aDeliverLate` says
// whether the first answer is delivered when its rating is late.
double
ExpectedQuality(const std::array<double, kModelCount>& aRates,
                int aFirst,
                int aSecond,
                bool aDeliverLate);

bool
IsRatingAvailable(TimeMs aTimeMs);

} // namespace savory::bench
