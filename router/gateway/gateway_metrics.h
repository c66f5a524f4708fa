#pragma once

#include "savory/core/metrics.h"

namespace savory {

// The counters and histograms of a gateway.
struct GatewayMetrics
{
  Metrics mRegistry;

  void CountRequest(const std::string& aEnd)
  {
    mRegistry.Add(mRegistry.Counter("savory_gateway_requests_total",
                                    "Requests by how they ended.",
                                    { { "end", aEnd } }));
  }
  void CountAttempt(const std::string& aOutcome)
  {
    mRegistry.Add(mRegistry.Counter("savory_gateway_attempts_total",
                                    "Requests sent to runners, by outcome.",
                                    { { "outcome", aOutcome } }));
  }
  void CountPoolDecision(const std::string& aAction, const std::string& aReason)
  {
    mRegistry.Add(
      mRegistry.Counter("savory_gateway_pool_decisions_total",
                        "Requests to paced services by decision and reason.",
                        { { "action", aAction }, { "reason", aReason } }));
  }
  void ObserveForecastError(const std::string& aRoute, double aSeconds)
  {
    mRegistry.Observe(
      mRegistry.Histogram(
        "savory_gateway_forecast_error_seconds",
        "Difference between the forecast and the end of an answer.",
        { { "route", aRoute } }),
      aSeconds);
  }
  void CountPrefixDecision(const std::string& aOption,
                           const std::string& aReason)
  {
    mRegistry.Add(mRegistry.Counter(
      "savory_gateway_prefix_decisions_total",
      "Requests of paced services with shared prompt parts, by what was "
      "decided about the parts.",
      { { "option", aOption }, { "reason", aReason } }));
  }
  void CountDroppedDatagram()
  {
    mRegistry.Add(
      mRegistry.Counter("savory_gateway_datagrams_dropped_total",
                        "Datagrams of peers that could not be read.",
                        {}));
  }
  void SetRunnerHints(int aLeaving, int aBackedOff)
  {
    mRegistry.Set(mRegistry.Gauge("savory_gateway_runners_leaving",
                                  "Runners that said that they leave.",
                                  {}),
                  aLeaving);
    mRegistry.Set(mRegistry.Gauge("savory_gateway_runners_backed_off",
                                  "Runners that want no requests of this host.",
                                  {}),
                  aBackedOff);
  }
  void ObserveFirstByte(const std::string& aRoute, double aSeconds)
  {
    mRegistry.Observe(
      mRegistry.Histogram("savory_gateway_first_byte_seconds",
                          "Time to the first byte of the answer.",
                          { { "route", aRoute } }),
      aSeconds);
  }
};

} // namespace savory
