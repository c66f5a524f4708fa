#include "benchmarks.h"
#include "fleet_model.h"

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 41, 42, 43, 44, 45 };

// Long inputs, answers longer or shorter than estimated and slow callers, at
// backend servers whose memory runs out before their concurrency.
void
MeasureMemory(Results& aResults,
              const std::string& aName,
              FleetOptions aOptions)
{
  ScaleRates(aOptions, RateAtLoad(aOptions, 0.7) / 30);
  aOptions.mDurationMs = 90000;
  aOptions.mTokenCapacity = 50000;
  aOptions.mOutputSpread = 0.6;
  aOptions.mSlowCallers = 0.2;
  aOptions.mFallsOver = true;
  aOptions.mMaxResends = 3;
  aOptions.mResendAfterMs = 10;
  auto fell =
    MakeLine("memory." + aName + ".fell_over", "servers", Better::Lower, 0, 0);
  auto goodput = MakeLine(
    "memory." + aName + ".goodput", "of offered", Better::Higher, std::nullopt);
  auto cancelled = MakeLine("memory." + aName + ".cancelled",
                            "of finished",
                            Better::Lower,
                            std::nullopt);
  double without = 0;
  std::vector<double> plainGoodput;
  for (auto seed : kSeeds) {
    auto run = [&](bool aCheck) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mMemoryCheck = aCheck;
      return Fleet(options).Run(20000);
    };
    auto core = run(true);
    auto plain = run(false);
    MixDecision(aResults, std::to_string(core.mDecisions));
    fell.mValues.push_back(static_cast<double>(core.mFellOver));
    without +=
      static_cast<double>(plain.mFellOver) / static_cast<double>(kSeeds.size());
    auto options = aOptions;
    options.mSeed = seed;
    options.mPolicy = Policy::Perfect;
    options.mTokenCapacity = 0;
    double offered = Fleet(options).Run(20000).mTokens;
    goodput.mValues.push_back(core.mTokens / offered);
    plainGoodput.push_back(plain.mTokens / offered);
    cancelled.mValues.push_back(
      static_cast<double>(core.mCancelled) /
      static_cast<double>(std::max<std::int64_t>(1, core.mFinished)));
  }
  fell.mBaselines.emplace_back("no_admission", without);
  goodput.mBaselines.emplace_back("no_admission", Quantile(plainGoodput, 0.5));
  for (auto* line : { &fell, &goodput, &cancelled }) {
    aResults.mLines.push_back(*line);
  }
}

} // namespace

void
BenchMemory(Results& aResults)
{
  MeasureMemory(aResults, "gulfway", GulfwayFleet(30));
  MeasureMemory(aResults, "bengal", BengalFleet(30));
}

} // namespace savory::bench
