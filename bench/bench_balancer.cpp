#include "benchmarks.h"
#include "fleet_model.h"

#include <chrono>

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 11, 12, 13, 14, 15 };
constexpr double kWarmMs = 80000;

// First tokens and prefix hits of one fleet at 85% load.
void
MeasureFleet(Results& aResults, const std::string& aName, FleetOptions aOptions)
{
  ScaleRates(aOptions, RateAtLoad(aOptions, 0.85) / 30);
  aOptions.mDurationMs = 180000;
  auto first = MakeLine(
    "balancer." + aName + ".first_token_p95", "x bound", Better::Lower, 1.2, 1);
  auto hits = MakeLine(
    "balancer." + aName + ".prefix_hits", "of perfect", Better::Higher, 0.9, 1);
  constexpr std::array<std::pair<Policy, const char*>, 4> kBaselines{ {
    { Policy::RoundRobin, "round_robin" },
    { Policy::Random, "random" },
    { Policy::LeastReported, "least_reported" },
    { Policy::PowerOfTwo, "power_of_two" },
  } };
  std::vector<std::vector<double>> firstOf(kBaselines.size());
  std::vector<std::vector<double>> hitsOf(kBaselines.size());
  std::vector<double> bound;
  for (auto seed : kSeeds) {
    auto run = [&](Policy aPolicy) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mPolicy = aPolicy;
      return Fleet(options).Run(kWarmMs);
    };
    auto perfect = run(Policy::Perfect);
    auto core = run(Policy::Core);
    MixDecision(aResults, std::to_string(core.mDecisions));
    double best = FirstTokenQuantile(perfect, 0.95);
    double bestHits = perfect.mHits / perfect.mBlocks;
    bound.push_back(best);
    first.mValues.push_back(FirstTokenQuantile(core, 0.95) / best);
    hits.mValues.push_back(core.mHits / core.mBlocks / bestHits);
    for (std::size_t i = 0; i < kBaselines.size(); ++i) {
      auto outcome = run(kBaselines[i].first);
      firstOf[i].push_back(FirstTokenQuantile(outcome, 0.95) / best);
      hitsOf[i].push_back(outcome.mHits / outcome.mBlocks / bestHits);
    }
  }
  for (std::size_t i = 0; i < kBaselines.size(); ++i) {
    first.mBaselines.emplace_back(kBaselines[i].second,
                                  Quantile(firstOf[i], 0.5));
    hits.mBaselines.emplace_back(kBaselines[i].second,
                                 Quantile(hitsOf[i], 0.5));
  }
  first.mBaselines.emplace_back("bound_ms", Quantile(bound, 0.5));
  aResults.mLines.push_back(first);
  aResults.mLines.push_back(hits);
}

// Starts beyond what a cold backend server truly carries, while all of them
// start cold, one restarts announced and one restarts without a sign.
void
MeasureColdStart(Results& aResults,
                 const std::string& aName,
                 FleetOptions aOptions)
{
  ScaleRates(aOptions, RateAtLoad(aOptions, 0.6) / 30);
  aOptions.mDurationMs = 60000;
  auto line = MakeLine(
    "balancer." + aName + ".cold_violations", "starts", Better::Lower, 0, 0);
  auto silent = MakeLine("balancer." + aName + ".silent_cold_violations",
                         "starts",
                         Better::Lower,
                         std::nullopt);
  double without = 0;
  for (auto seed : kSeeds) {
    auto run = [&](bool aWarmup, bool aAnnounced) {
      auto options = aOptions;
      options.mSeed = seed;
      options.mWarmup = aWarmup;
      options.mStartCold = aAnnounced;
      Fleet fleet(options);
      for (std::size_t i : { 1, 4 }) {
        fleet.At(30000 + 5000 * static_cast<double>(i),
                 [&fleet, i, aAnnounced] {
                   aAnnounced ? fleet.Restart(i) : fleet.MakeCold(i);
                 });
      }
      return fleet.Run(0);
    };
    auto announced = run(true, true);
    auto unannounced = run(true, false);
    MixDecision(aResults, std::to_string(announced.mDecisions));
    MixDecision(aResults, std::to_string(unannounced.mDecisions));
    line.mValues.push_back(static_cast<double>(announced.mColdViolations));
    silent.mValues.push_back(static_cast<double>(unannounced.mColdViolations));
    without += static_cast<double>(run(false, true).mColdViolations) /
               static_cast<double>(kSeeds.size());
  }
  line.mBaselines.emplace_back("no_warmup", without);
  aResults.mLines.push_back(line);
  aResults.mLines.push_back(silent);
}

// Time of one selection among 12,000 backend servers.
void
MeasureChoice(Results& aResults)
{
  auto line =
    MakeLine("balancer.choice_among_12000_p99", "us", Better::Lower, 5);
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
    std::vector<double> times;
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
        times.push_back(elapsed.count());
      }
      MixDecision(aResults, best);
      OnRequestSent(balancer, options, best, 4000, prefix, 0);
      if (i % 2 == 0) {
        OnRequestEnded(balancer, best, 4000);
      }
    }
    line.mValues.push_back(Quantile(times, 0.99));
  }
  aResults.mLines.push_back(line);
}

} // namespace

void
BenchBalancer(Results& aResults)
{
  MeasureFleet(aResults, "gulfway", GulfwayFleet(30));
  MeasureFleet(aResults, "bengal", BengalFleet(30));
  MeasureColdStart(aResults, "gulfway", GulfwayFleet(30));
  MeasureColdStart(aResults, "bengal", BengalFleet(30));
  MeasureChoice(aResults);
}

} // namespace savory::bench
