#include "benchmarks.h"
#include "fleet_model.h"

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 41, 42, 43, 44, 45 };

// Long inputs, answers longer or shorter than estimated, and slow callers, at
// backend servers that reach their memory limit before their concurrency limit.
void
MeasureMemory(Results& aResults,
              const std::string& aName,
              FleetOptions aOptions)
{
  ScaleRates(aOptions, EstimateRateAtLoad(aOptions, 0.7) / 30);
  aOptions.mDurationMs = 90000;
  aOptions.mTokenCapacity = 50000;
  aOptions.mOutputEstimateError = 0.6;
  aOptions.mSlowCallerRatio = 0.2;
  aOptions.mCrashesOnOverload = true;
  aOptions.mMaxResends = 3;
  aOptions.mResendDelayMs = 10;
  auto crashes = MakeMetric(
    "memory." + aName + ".fell_over", "servers", Direction::Lower, 0, 0);
  auto goodput = MakeMetric("memory." + aName + ".goodput",
                            "of offered",
                            Direction::Higher,
                            std::nullopt);
  auto cancelled = MakeMetric("memory." + aName + ".cancelled",
                              "of finished",
                              Direction::Lower,
                              std::nullopt);
  double uncheckedCrashes = 0;
  std::vector<double> uncheckedGoodput;
  for (auto seed : kSeeds) {
    auto run = [&](bool aMemoryCheck) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mMemoryCheckEnabled = aMemoryCheck;
      return Fleet(options).Run(20000);
    };
    auto core = run(true);
    auto unchecked = run(false);
    MixDecision(aResults, std::to_string(core.mDecisionHash));
    crashes.mValues.push_back(static_cast<double>(core.mCrashes));
    uncheckedCrashes += static_cast<double>(unchecked.mCrashes) /
                        static_cast<double>(kSeeds.size());
    auto options = aOptions;
    options.mSeed = seed;
    options.mPolicy = Policy::Perfect;
    options.mTokenCapacity = 0;
    double offered = Fleet(options).Run(20000).mGoodputTokens;
    goodput.mValues.push_back(core.mGoodputTokens / offered);
    uncheckedGoodput.push_back(unchecked.mGoodputTokens / offered);
    cancelled.mValues.push_back(
      static_cast<double>(core.mCancelled) /
      static_cast<double>(std::max<std::int64_t>(1, core.mFinished)));
  }
  crashes.mBaselines.emplace_back("no_admission", uncheckedCrashes);
  goodput.mBaselines.emplace_back("no_admission",
                                  Quantile(uncheckedGoodput, 0.5));
  for (auto* metric : { &crashes, &goodput, &cancelled }) {
    aResults.mMetrics.push_back(*metric);
  }
}

} // namespace

void
BenchMemory(Results& aResults)
{
  MeasureMemory(aResults, "gulfway", MakeGulfwayFleet(30));
  MeasureMemory(aResults, "bengal", MakeBengalFleet(30));
}

} // namespace savory::bench
