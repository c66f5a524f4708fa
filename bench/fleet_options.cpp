#include "fleet_model.h"

#include <algorithm>

namespace savory::bench {

namespace {

// Ten customers. The first two together send two thirds of the requests and
// have 8 times the weight of the others.
std::vector<ModelCustomer>
MakeTenCustomers(double aRate, int aSessions)
{
  std::vector<ModelCustomer> customers;
  for (int i = 0; i < 10; ++i) {
    bool large = i < 2;
    ModelCustomer customer;
    customer.mName = "customer-" + std::to_string(i);
    customer.mWeight = large ? 8 : 1;
    customer.mRequestsPerSecond = aRate * (large ? 8 : 1) / 24;
    customer.mOpenSessions = aSessions * (large ? 8 : 1) / 24 + 1;
    customers.push_back(customer);
  }
  return customers;
}

} // namespace

FleetOptions
MakeGulfwayFleet(double aRate)
{
  FleetOptions options;
  options.mBackendCount = 12;
  options.mZoneCount = 3;
  options.mZoneLatencyMs = 0.5;
  options.mMaxSessionBlocks = 30;
  options.mCustomers = MakeTenCustomers(aRate, 480);
  return options;
}

FleetOptions
MakeBengalFleet(double aRate)
{
  FleetOptions options;
  options.mBackendCount = 18;
  options.mZoneCount = 4;
  options.mEntryCount = 4;
  options.mZoneLatencyMs = 1.5;
  options.mMaxSessionBlocks = 24;
  options.mCustomers = MakeTenCustomers(aRate, 900);
  return options;
}

void
ScaleRates(FleetOptions& aOptions, double aFactor)
{
  for (auto& customer : aOptions.mCustomers) {
    customer.mRequestsPerSecond *= aFactor;
  }
}

double
EstimateRateAtLoad(FleetOptions aOptions, double aLoad)
{
  aOptions.mPolicy = Policy::Perfect;
  aOptions.mDurationMs = 60000;
  aOptions.mSeed = 99;
  ScaleRates(aOptions, 3);
  auto outcome = Fleet(aOptions).Run(20000);
  return aLoad * static_cast<double>(outcome.mFinished) / 40;
}

Metric
MakeMetric(std::string aName,
           std::string aUnit,
           Direction aDirection,
           std::optional<double> aTarget,
           std::optional<double> aBound)
{
  Metric metric;
  metric.mName = std::move(aName);
  metric.mUnit = std::move(aUnit);
  metric.mDirection = aDirection;
  metric.mTarget = aTarget;
  metric.mBound = aBound;
  return metric;
}

double
Quantile(std::vector<double> aValues, double aLevel)
{
  if (aValues.empty()) {
    return 0;
  }
  auto index =
    static_cast<std::size_t>(aLevel * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(index),
                   aValues.end());
  return aValues[index];
}

double
FirstTokenQuantile(const FleetOutcome& aOutcome,
                   double aLevel,
                   double aFromMs,
                   double aToMs)
{
  std::vector<double> values;
  for (const auto& [arrived, elapsedMs] : aOutcome.mFirstTokens) {
    if (arrived >= aFromMs && arrived < aToMs) {
      values.push_back(elapsedMs);
    }
  }
  return Quantile(std::move(values), aLevel);
}

} // namespace savory::bench
