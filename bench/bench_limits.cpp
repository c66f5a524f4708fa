#include "benchmarks.h"
#include "fleet_model.h"

#include <cmath>

namespace savory::bench {

namespace {

constexpr std::array<std::uint64_t, 5> kSeeds{ 21, 22, 23, 24, 25 };
constexpr double kMeasureFromMs = 40000;
constexpr double kEndMs = 240000;

// The customer that sends four times as much for its weight as the others.
constexpr std::size_t kGreedyCustomer = 9;

// The largest relative deviation of a customer's tokens from its fair share.
double
WorstDeviation(const FleetOptions& aOptions, const FleetOutcome& aOutcome)
{
  double weights = 0;
  double tokens = 0;
  for (std::size_t i = 0; i < aOptions.mCustomers.size(); ++i) {
    weights += aOptions.mCustomers[i].mWeight;
    tokens += aOutcome.mCustomerTokens[i];
  }
  double worst = 0;
  for (std::size_t i = 0; i < aOptions.mCustomers.size(); ++i) {
    double fair = tokens * aOptions.mCustomers[i].mWeight / weights;
    worst = std::max(worst, std::abs(aOutcome.mCustomerTokens[i] / fair - 1));
  }
  return worst;
}

// Offers three times the capacity, from callers that resend refused requests
// after 10 ms.
void
MeasureOverload(Results& aResults,
                const std::string& aName,
                FleetOptions aOptions)
{
  ScaleRates(aOptions, 3 * EstimateRateAtLoad(aOptions, 0.95) / 0.95 / 30);
  aOptions.mCustomers[kGreedyCustomer].mRequestsPerSecond *= 4;
  aOptions.mDurationMs = kEndMs;
  aOptions.mMaxResends = 40;
  aOptions.mResendDelayMs = 10;
  auto goodput = MakeMetric("limits." + aName + ".overload_goodput",
                            "of capacity",
                            Direction::Higher,
                            0.95,
                            1);
  auto fairness = MakeMetric("limits." + aName + ".overload_worst_share",
                             "deviation",
                             Direction::Lower,
                             0.1,
                             0);
  std::vector<double> unlimitedGoodput;
  std::vector<double> unlimitedFairness;
  for (auto seed : kSeeds) {
    auto options = aOptions;
    options.mSeed = seed;
    options.mPolicy = Policy::Perfect;
    double capacity = Fleet(options).Run(kMeasureFromMs).mGoodputTokens;
    options.mPolicy = Policy::Core;
    auto core = Fleet(options).Run(kMeasureFromMs);
    MixDecision(aResults, std::to_string(core.mDecisionHash));
    goodput.mValues.push_back(core.mGoodputTokens / capacity);
    fairness.mValues.push_back(WorstDeviation(options, core));
    // Without limits: least reported load and FIFO queues.
    options.mPolicy = Policy::LeastReported;
    auto unlimited = Fleet(options).Run(kMeasureFromMs);
    unlimitedGoodput.push_back(unlimited.mGoodputTokens / capacity);
    unlimitedFairness.push_back(WorstDeviation(options, unlimited));
  }
  goodput.mBaselines.emplace_back("no_limits", Quantile(unlimitedGoodput, 0.5));
  fairness.mBaselines.emplace_back("no_limits",
                                   Quantile(unlimitedFairness, 0.5));
  aResults.mMetrics.push_back(goodput);
  aResults.mMetrics.push_back(fairness);
}

} // namespace

void
BenchLimits(Results& aResults)
{
  MeasureOverload(aResults, "gulfway", MakeGulfwayFleet(30));
  MeasureOverload(aResults, "bengal", MakeBengalFleet(30));
}

} // namespace savory::bench
