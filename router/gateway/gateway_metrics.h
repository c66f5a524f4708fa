#pragma once

#include "savory/core/metrics.h"
#include "savory/core/types.h"

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
  void SetCopyAge(TimeMs aAgeMs)
  {
    mRegistry.Set(mRegistry.Gauge("savory_gateway_copy_age_seconds",
                                  "Time since which this host may have missed "
                                  "a change of the store.",
                                  {}),
                  static_cast<double>(aAgeMs) / 1000);
  }
  void SetConfigBytes(std::size_t aBytes)
  {
    mRegistry.Set(mRegistry.Gauge("savory_gateway_config_bytes",
                                  "Size of the configuration in the store.",
                                  {}),
                  static_cast<double>(aBytes));
  }
  void ObserveLoopDelay(TimeMs aDelayMs)
  {
    mRegistry.Observe(
      mRegistry.Histogram("savory_gateway_loop_delay_seconds",
                          "How late a timer of the event loop runs.",
                          {}),
      static_cast<double>(aDelayMs) / 1000);
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
  void CountRefusedCaller(const std::string& aReason)
  {
    mRegistry.Add(
      mRegistry.Counter("savory_gateway_callers_refused_total",
                        "Callers refused or cut off before their request was "
                        "complete, by reason.",
                        { { "reason", aReason } }));
  }
  void SetHeld(std::size_t aBytes, std::size_t aWaiting, std::size_t aLinks)
  {
    mRegistry.Set(mRegistry.Gauge("savory_gateway_held_bytes",
                                  "Bytes buffered for callers and runners.",
                                  {}),
                  static_cast<double>(aBytes));
    mRegistry.Set(mRegistry.Gauge("savory_gateway_callers_waiting",
                                  "Callers not read for lack of memory.",
                                  {}),
                  static_cast<double>(aWaiting));
    mRegistry.Set(mRegistry.Gauge("savory_gateway_caller_connections",
                                  "Open connections of callers.",
                                  {}),
                  static_cast<double>(aLinks));
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
