#include "fleet_model.h"

#include <algorithm>

namespace savory::bench {

namespace {

// Ten customers, of which two have two thirds of the work.
std::vector<ModelCustomer>
TenCustomers(double aRate, int aSessions)
{
  std::vector<ModelCustomer> customers;
  for (int i = 0; i < 10; ++i) {
    bool large = i < 2;
    ModelCustomer customer;
    customer.mName = "customer-" + std::to_string(i);
    customer.mWeight = large ? 8 : 1;
    customer.mRate = aRate * (large ? 8 : 1) / 24;
    customer.mSessions = aSessions * (large ? 8 : 1) / 24 + 1;
    customers.push_back(customer);
  }
  return customers;
}

} // namespace

FleetOptions
GulfwayFleet(double aRate)
{
  FleetOptions options;
  options.mBackends = 12;
  options.mZones = 3;
  options.mZoneLatencyMs = 0.5;
  options.mMaxBlocks = 30;
  options.mCustomers = TenCustomers(aRate, 480);
  return options;
}

FleetOptions
BengalFleet(double aRate)
{
  FleetOptions options;
  options.mBackends = 18;
  options.mZones = 4;
  options.mEntries = 4;
  options.mZoneLatencyMs = 1.5;
  options.mMaxBlocks = 24;
  options.mCustomers = TenCustomers(aRate, 900);
  return options;
}

void
ScaleRates(FleetOptions& aOptions, double aFactor)
{
  for (auto& customer : aOptions.mCustomers) {
    customer.mRate *= aFactor;
  }
}

double
RateAtLoad(FleetOptions aOptions, double aLoad)
{
  aOptions.mPolicy = Policy::Perfect;
  aOptions.mDurationMs = 60000;
  aOptions.mSeed = 99;
  ScaleRates(aOptions, 3);
  auto outcome = Fleet(aOptions).Run(20000);
  return aLoad * static_cast<double>(outcome.mFinished) / 40;
}

Line
MakeLine(std::string aName,
         std::string aUnit,
         Better aBetter,
         std::optional<double> aTarget,
         std::optional<double> aBound)
{
  Line line;
  line.mName = std::move(aName);
  line.mUnit = std::move(aUnit);
  line.mBetter = aBetter;
  line.mTarget = aTarget;
  line.mBound = aBound;
  return line;
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  auto place =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(place),
                   aValues.end());
  return aValues[place];
}

double
FirstTokenQuantile(const FleetOutcome& aOutcome,
                   double aShare,
                   double aFromMs,
                   double aToMs)
{
  std::vector<double> values;
  for (const auto& [arrived, wait] : aOutcome.mFirstTokens) {
    if (arrived >= aFromMs && arrived < aToMs) {
      values.push_back(wait);
    }
  }
  return Quantile(std::move(values), aShare);
}

} // namespace savory::bench
