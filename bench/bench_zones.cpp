#include "benchmarks.h"
#include "fleet_model.h"

#include <algorithm>

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 31, 32, 33, 34, 35 };
constexpr double kWarmMs = 80000;
constexpr double kOutMs = 130000;
constexpr double kBackMs = 190000;
constexpr double kEndMs = 250000;

// A zone leaves and returns while the rest can carry the load. Every process
// learns of a change within one second.
void
MeasureZone(Results& aResults,
            const std::string& aName,
            FleetOptions aOptions,
            double aLoad)
{
  ScaleRates(aOptions, RateAtLoad(aOptions, aLoad) / 30);
  aOptions.mDurationMs = kEndMs;
  auto after = MakeLine(
    "zones." + aName + ".new_work_after_3s", "starts", Better::Lower, 0, 0);
  auto refused =
    MakeLine("zones." + aName + ".refused", "requests", Better::Lower, 0, 0);
  auto first = MakeLine("zones." + aName + ".first_token_p95_30s_after",
                        "x ordinary",
                        Better::Lower,
                        1.5);
  auto back = MakeLine("zones." + aName + ".first_token_p95_on_return",
                       "x ordinary",
                       Better::Lower,
                       1.5);
  auto cold = MakeLine("zones." + aName + ".cold_violations_on_return",
                       "starts",
                       Better::Lower,
                       0,
                       0);
  std::vector<double> perfectFirst;
  double ignoring = 0;
  double coldWithout = 0;
  for (auto seed : kSeeds) {
    auto run = [&](bool aMechanism) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mWarmup = aMechanism;
      options.mBalancer.mUseAllowance = aMechanism;
      Fleet fleet(options);
      fleet.At(kOutMs, [&] { fleet.SetZone("zone-0", ZoneState::Out, 1000); });
      fleet.At(kBackMs,
               [&] { fleet.SetZone("zone-0", ZoneState::Returning, 1000); });
      return fleet.Run(kWarmMs);
    };
    auto late = [](const FleetOutcome& aOutcome) {
      return static_cast<double>(std::count_if(
        aOutcome.mStartedIn.begin(),
        aOutcome.mStartedIn.end(),
        [](const auto& aStart) {
          return aStart.second == "zone-0" && aStart.first > kOutMs + 3000 &&
                 aStart.first < kBackMs;
        }));
    };
    auto outcome = run(true);
    MixDecision(aResults, std::to_string(outcome.mDecisions));
    double ordinary = FirstTokenQuantile(outcome, 0.95, kWarmMs, kOutMs);
    after.mValues.push_back(late(outcome));
    refused.mValues.push_back(static_cast<double>(outcome.mRefused));
    first.mValues.push_back(
      FirstTokenQuantile(outcome, 0.95, kOutMs + 30000, kBackMs) / ordinary);
    back.mValues.push_back(FirstTokenQuantile(outcome, 0.95, kBackMs, kEndMs) /
                           ordinary);
    cold.mValues.push_back(static_cast<double>(outcome.mColdViolations));
    coldWithout += static_cast<double>(run(false).mColdViolations) /
                   static_cast<double>(kSeeds.size());
    {
      auto options = aOptions;
      options.mSeed = seed;
      options.mPolicy = Policy::Perfect;
      Fleet fleet(options);
      fleet.At(kOutMs, [&] { fleet.SetZone("zone-0", ZoneState::Out, 1); });
      auto perfect = fleet.Run(kWarmMs);
      perfectFirst.push_back(
        FirstTokenQuantile(perfect, 0.95, kOutMs + 30000, kBackMs) /
        FirstTokenQuantile(perfect, 0.95, kWarmMs, kOutMs));
    }
    // Round robin over all backend servers, which does not know of zones.
    auto options = aOptions;
    options.mSeed = seed;
    options.mPolicy = Policy::RoundRobin;
    Fleet fleet(options);
    fleet.At(kOutMs, [&] { fleet.SetZone("zone-0", ZoneState::Out, 1000); });
    fleet.At(kBackMs,
             [&] { fleet.SetZone("zone-0", ZoneState::Returning, 1000); });
    ignoring += late(fleet.Run(kWarmMs)) / static_cast<double>(kSeeds.size());
  }
  first.mBound = Quantile(perfectFirst, 0.5);
  after.mBaselines.emplace_back("round_robin", ignoring);
  cold.mBaselines.emplace_back("no_warmup", coldWithout);
  for (auto* line : { &after, &refused, &first, &back, &cold }) {
    aResults.mLines.push_back(*line);
  }
}

} // namespace

void
BenchZones(Results& aResults)
{
  for (int percent : { 40, 55 }) {
    std::string load = "_load_" + std::to_string(percent);
    MeasureZone(aResults, "gulfway" + load, GulfwayFleet(30), percent / 100.0);
    MeasureZone(aResults, "bengal" + load, BengalFleet(30), percent / 100.0);
  }
}

} // namespace savory::bench
