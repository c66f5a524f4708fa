#include "benchmarks.h"
#include "fleet_model.h"

#include <chrono>

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 11, 12, 13, 14, 15 };
constexpr double kMeasureFromMs = 80000;

// Time to first token and prefix cache hits of one fleet at 85% load, relative
// to perfect placement.
void
MeasureFleet(Results& aResults, const std::string& aName, FleetOptions aOptions)
{
  ScaleRates(aOptions, EstimateRateAtLoad(aOptions, 0.85) / 30);
  aOptions.mDurationMs = 180000;
  auto firstToken = MakeMetric("balancer." + aName + ".first_token_p95",
                               "x bound",
                               Direction::Lower,
                               1.2,
                               1);
  auto hits = MakeMetric("balancer." + aName + ".prefix_hits",
                         "of perfect",
                         Direction::Higher,
                         0.9,
                         1);
  constexpr std::array<std::pair<Policy, const char*>, 4> kBaselines{ {
    { Policy::RoundRobin, "round_robin" },
    { Policy::Random, "random" },
    { Policy::LeastReported, "least_reported" },
    { Policy::PowerOfTwo, "power_of_two" },
  } };
  std::vector<std::vector<double>> baselineFirstTokens(kBaselines.size());
  std::vector<std::vector<double>> baselineHits(kBaselines.size());
  std::vector<double> perfectFirstTokensMs;
  for (auto seed : kSeeds) {
    auto run = [&](Policy aPolicy) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mPolicy = aPolicy;
      return Fleet(options).Run(kMeasureFromMs);
    };
    auto perfect = run(Policy::Perfect);
    auto core = run(Policy::Core);
    MixDecision(aResults, std::to_string(core.mDecisionHash));
    double bestFirstTokenMs = FirstTokenQuantile(perfect, 0.95);
    double bestHits = perfect.mCachedPromptBlocks / perfect.mPromptBlocks;
    perfectFirstTokensMs.push_back(bestFirstTokenMs);
    firstToken.mValues.push_back(FirstTokenQuantile(core, 0.95) /
                                 bestFirstTokenMs);
    hits.mValues.push_back(core.mCachedPromptBlocks / core.mPromptBlocks /
                           bestHits);
    for (std::size_t i = 0; i < kBaselines.size(); ++i) {
      auto outcome = run(kBaselines[i].first);
      baselineFirstTokens[i].push_back(FirstTokenQuantile(outcome, 0.95) /
                                       bestFirstTokenMs);
      baselineHits[i].push_back(outcome.mCachedPromptBlocks /
                                outcome.mPromptBlocks / bestHits);
    }
  }
  for (std::size_t i = 0; i < kBaselines.size(); ++i) {
    firstToken.mBaselines.emplace_back(kBaselines[i].second,
                                       Quantile(baselineFirstTokens[i], 0.5));
    hits.mBaselines.emplace_back(kBaselines[i].second,
                                 Quantile(baselineHits[i], 0.5));
  }
  firstToken.mBaselines.emplace_back("bound_ms",
                                     Quantile(perfectFirstTokensMs, 0.5));
  aResults.mMetrics.push_back(firstToken);
  aResults.mMetrics.push_back(hits);
}

// Counts requests started beyond the number that a cold backend server can run.
// In one run all servers start cold and two of them restart, which their agents
// see. In the other, two warm servers become cold without a sign to their
// agents.
void
MeasureColdStart(Results& aResults,
                 const std::string& aName,
                 FleetOptions aOptions)
{
  ScaleRates(aOptions, EstimateRateAtLoad(aOptions, 0.6) / 30);
  aOptions.mDurationMs = 60000;
  auto announcedViolations = MakeMetric(
    "balancer." + aName + ".cold_violations", "starts", Direction::Lower, 0, 0);
  auto silentViolations =
    MakeMetric("balancer." + aName + ".silent_cold_violations",
               "starts",
               Direction::Lower,
               std::nullopt);
  double violationsWithoutWarmup = 0;
  for (auto seed : kSeeds) {
    auto run = [&](bool aWarmup, bool aAnnounced) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mWarmupEnabled = aWarmup;
      options.mStartCold = aAnnounced;
      Fleet fleet(options);
      for (std::size_t i : { 1, 4 }) {
        fleet.ScheduleAt(30000 + 5000 * static_cast<double>(i),
                         [&fleet, i, aAnnounced] {
                           aAnnounced ? fleet.Restart(i) : fleet.MakeCold(i);
                         });
      }
      return fleet.Run(0);
    };
    auto announced = run(true, true);
    auto unannounced = run(true, false);
    MixDecision(aResults, std::to_string(announced.mDecisionHash));
    MixDecision(aResults, std::to_string(unannounced.mDecisionHash));
    announcedViolations.mValues.push_back(
      static_cast<double>(announced.mColdViolations));
    silentViolations.mValues.push_back(
      static_cast<double>(unannounced.mColdViolations));
    violationsWithoutWarmup +=
      static_cast<double>(run(false, true).mColdViolations) /
      static_cast<double>(kSeeds.size());
  }
  announcedViolations.mBaselines.emplace_back("no_warmup",
                                              violationsWithoutWarmup);
  aResults.mMetrics.push_back(announcedViolations);
  aResults.mMetrics.push_back(silentViolations);
}

// Time to select one of 12,000 backend servers.
void
MeasureSelection(Results& aResults)
{
  auto metric =
    MakeMetric("balancer.choice_among_12000_p99", "us", Direction::Lower, 5);
  for (auto seed : kSeeds) {
    Balancer balancer;
    BalancerOptions options;
    RandomEngine random(seed);
    std::vector<Zone> zones;
    zones.reserve(9);
    for (int i = 0; i < 9; ++i) {
      zones.push_back({ "zone-" + std::to_string(i), "region" });
    }
    balancer.mLocalZone = "zone-0";
    ApplyZones(balancer, zones, 0);
    for (int i = 0; i < 12000; ++i) {
      AgentReport report;
      report.mPool = "pool";
      report.mAddress = "10.0." + std::to_string(i / 250) + "." +
                        std::to_string(i % 250) + ":7001";
      report.mZone = zones[static_cast<std::size_t>(i % 9)].mName;
      report.mVersions = { "medium@" + std::to_string(i % 10) };
      report.mAllowance = 16;
      report.mRunning = static_cast<int>(random() % 18);
      ApplyReport(balancer, report, 0);
    }
    std::vector<double> timesUs;
    for (int i = 0; i < 40000; ++i) {
      std::vector<std::uint64_t> prefix;
      for (std::uint64_t block = 0; block < 16; ++block) {
        prefix.push_back((random() % 500) * 16 + block);
      }
      std::string version = "medium@" + std::to_string(random() % 10);
      ChoiceRequest request{ "pool", version, prefix, 4000, {} };
      auto start = std::chrono::steady_clock::now();
      auto choice = ChooseBackend(balancer, options, request, random, 0);
      std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
      if (choice.mCandidates.empty()) {
        MixDecision(aResults, "none");
        continue;
      }
      const auto& best = choice.mCandidates.front().mAddress;
      if (i >= 1000) {
        timesUs.push_back(elapsed.count());
      }
      MixDecision(aResults, best);
      OnRequestSent(balancer, options, best, 4000, prefix, 0);
      if (i % 2 == 0) {
        OnRequestEnded(balancer, best, 4000);
      }
    }
    metric.mValues.push_back(Quantile(timesUs, 0.99));
  }
  aResults.mMetrics.push_back(metric);
}

} // namespace

void
BenchBalancer(Results& aResults)
{
  MeasureFleet(aResults, "gulfway", MakeGulfwayFleet(30));
  MeasureFleet(aResults, "bengal", MakeBengalFleet(30));
  MeasureColdStart(aResults, "gulfway", MakeGulfwayFleet(30));
  MeasureColdStart(aResults, "bengal", MakeBengalFleet(30));
  MeasureSelection(aResults);
}

} // namespace savory::bench
