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
  // The token is 0 unless this host holds the duty.
  void SetDuty(bool aIsHolder, double aToken)
  {
    mRegistry.Set(mRegistry.Gauge("savory_gateway_duty_holder",
                                  "Whether this host reports the usage.",
                                  {}),
                  aIsHolder ? 1 : 0);
    mRegistry.Set(mRegistry.Gauge("savory_gateway_duty_token",
                                  "Fencing token of the holder, or 0.",
                                  {}),
                  aToken);
  }
  void CountUsageSealed()
  {
    mRegistry.Add(mRegistry.Counter("savory_gateway_usage_sealed_total",
                                    "Windows whose counts were made final.",
                                    {}));
  }
  void CountUsageReport(const std::string& aResult)
  {
    mRegistry.Add(mRegistry.Counter("savory_gateway_usage_reports_total",
                                    "Calls that report a window, by result.",
                                    { { "result", aResult } }));
  }
  void CountUsageReportLate()
  {
    mRegistry.Add(
      mRegistry.Counter("savory_gateway_usage_reports_late_total",
                        "Windows that were accepted after they were due.",
                        {}));
  }
  void CountUsageLost(std::int64_t aRequests)
  {
    mRegistry.Add(
      mRegistry.Counter("savory_gateway_usage_lost_total",
                        "Requests counted after the seal of their window.",
                        {}),
      static_cast<double>(aRequests));
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
