#include "benchmarks.h"
#include "fleet_model.h"

#include <algorithm>

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 31, 32, 33, 34, 35 };
constexpr double kMeasureFromMs = 80000;
constexpr double kZoneOutMs = 130000;
constexpr double kZoneReturnMs = 190000;
constexpr double kEndMs = 250000;

// Takes a zone out of service and returns it, at a load that the other zones
// can carry. Every process receives a change within one second.
void
MeasureZone(Results& aResults,
            const std::string& aName,
            FleetOptions aOptions,
            double aLoad)
{
  ScaleRates(aOptions, EstimateRateAtLoad(aOptions, aLoad) / 30);
  aOptions.mDurationMs = kEndMs;
  auto lateStarts = MakeMetric(
    "zones." + aName + ".new_work_after_3s", "starts", Direction::Lower, 0, 0);
  auto refused = MakeMetric(
    "zones." + aName + ".refused", "requests", Direction::Lower, 0, 0);
  auto outFirstToken =
    MakeMetric("zones." + aName + ".first_token_p95_30s_after",
               "x ordinary",
               Direction::Lower,
               1.5);
  auto returnFirstToken =
    MakeMetric("zones." + aName + ".first_token_p95_on_return",
               "x ordinary",
               Direction::Lower,
               1.5);
  auto coldViolations =
    MakeMetric("zones." + aName + ".cold_violations_on_return",
               "starts",
               Direction::Lower,
               0,
               0);
  std::vector<double> perfectFirstTokens;
  double roundRobinStarts = 0;
  double coldWithoutWarmup = 0;
  for (auto seed : kSeeds) {
    auto run = [&](bool aWarmup) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mWarmupEnabled = aWarmup;
      options.mBalancer.mUseAllowance = aWarmup;
      Fleet fleet(options);
      fleet.ScheduleAt(kZoneOutMs,
                       [&] { fleet.SetZone("zone-0", ZoneState::Out, 1000); });
      fleet.ScheduleAt(kZoneReturnMs, [&] {
        fleet.SetZone("zone-0", ZoneState::Returning, 1000);
      });
      return fleet.Run(kMeasureFromMs);
    };
    auto countLateStarts = [](const FleetOutcome& aOutcome) {
      return static_cast<double>(
        std::count_if(aOutcome.mStartZones.begin(),
                      aOutcome.mStartZones.end(),
                      [](const auto& aStart) {
                        return aStart.second == "zone-0" &&
                               aStart.first > kZoneOutMs + 3000 &&
                               aStart.first < kZoneReturnMs;
                      }));
    };
    auto outcome = run(true);
    MixDecision(aResults, std::to_string(outcome.mDecisionHash));
    double ordinaryMs =
      FirstTokenQuantile(outcome, 0.95, kMeasureFromMs, kZoneOutMs);
    lateStarts.mValues.push_back(countLateStarts(outcome));
    refused.mValues.push_back(static_cast<double>(outcome.mRefused));
    outFirstToken.mValues.push_back(
      FirstTokenQuantile(outcome, 0.95, kZoneOutMs + 30000, kZoneReturnMs) /
      ordinaryMs);
    returnFirstToken.mValues.push_back(
      FirstTokenQuantile(outcome, 0.95, kZoneReturnMs, kEndMs) / ordinaryMs);
    coldViolations.mValues.push_back(
      static_cast<double>(outcome.mColdViolations));
    coldWithoutWarmup += static_cast<double>(run(false).mColdViolations) /
                         static_cast<double>(kSeeds.size());
    {
      auto options = aOptions;
      options.mSeed = seed;
      options.mPolicy = Policy::Perfect;
      Fleet fleet(options);
      fleet.ScheduleAt(kZoneOutMs,
                       [&] { fleet.SetZone("zone-0", ZoneState::Out, 1); });
      auto perfect = fleet.Run(kMeasureFromMs);
      perfectFirstTokens.push_back(
        FirstTokenQuantile(perfect, 0.95, kZoneOutMs + 30000, kZoneReturnMs) /
        FirstTokenQuantile(perfect, 0.95, kMeasureFromMs, kZoneOutMs));
    }
    // Round robin over all backend servers, which ignores zones.
    auto options = aOptions;
    options.mSeed = seed;
    options.mPolicy = Policy::RoundRobin;
    Fleet fleet(options);
    fleet.ScheduleAt(kZoneOutMs,
                     [&] { fleet.SetZone("zone-0", ZoneState::Out, 1000); });
    fleet.ScheduleAt(kZoneReturnMs, [&] {
      fleet.SetZone("zone-0", ZoneState::Returning, 1000);
    });
    roundRobinStarts += countLateStarts(fleet.Run(kMeasureFromMs)) /
                        static_cast<double>(kSeeds.size());
  }
  outFirstToken.mBound = Quantile(perfectFirstTokens, 0.5);
  lateStarts.mBaselines.emplace_back("round_robin", roundRobinStarts);
  coldViolations.mBaselines.emplace_back("no_warmup", coldWithoutWarmup);
  for (auto* metric : { &lateStarts,
                        &refused,
                        &outFirstToken,
                        &returnFirstToken,
                        &coldViolations }) {
    aResults.mMetrics.push_back(*metric);
  }
}

} // namespace

void
BenchZones(Results& aResults)
{
  for (int percent : { 40, 55 }) {
    std::string load = "_load_" + std::to_string(percent);
    MeasureZone(
      aResults, "gulfway" + load, MakeGulfwayFleet(30), percent / 100.0);
    MeasureZone(
      aResults, "bengal" + load, MakeBengalFleet(30), percent / 100.0);
  }
}

} // namespace savory::bench
