#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savory {

// The labels of one series as pairs of name and value: {"customer", "c1"}.
using Labels = std::vector<std::pair<std::string, std::string>>;

// Handles of the series of a registry. They are obtained once and save the
// look-up by name on the hot path. A handle is valid as long as its registry.
struct CounterHandle
{
  std::size_t mIndex = 0;
};

struct GaugeHandle
{
  std::size_t mIndex = 0;
};

struct HistogramHandle
{
  std::size_t mIndex = 0;
};

struct MetricsData;

// The metrics registry of a process. Not thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Return the series with a name and labels and create it if needed. The help
  // text of the first call for a name is used. The first call also fixes the
  // kind of the name: a call for another kind returns a series that is not
  // exported. Once a name has kMaxSeriesPerName series, further labels share
  // the series labelled overflow="true", so that label values chosen by callers
  // cannot exhaust the memory.
  CounterHandle Counter(const std::string& aName,
                        const std::string& aHelp,
                        const Labels& aLabels = {});
  GaugeHandle Gauge(const std::string& aName,
                    const std::string& aHelp,
                    const Labels& aLabels = {});

  // A histogram of durations in seconds, with bucket bounds from 0.5 ms to
  // 120 s.
  HistogramHandle Histogram(const std::string& aName,
                            const std::string& aHelp,
                            const Labels& aLabels = {});

  void Add(CounterHandle aCounter, double aValue = 1);
  void Set(GaugeHandle aGauge, double aValue);
  void Observe(HistogramHandle aHistogram, double aSeconds);
  double Value(CounterHandle aCounter) const;
  double Value(GaugeHandle aGauge) const;

  // All series in the Prometheus text exposition format, version 0.0.4.
  std::string ToText() const;

private:
  std::unique_ptr<MetricsData> mData;
};

inline constexpr std::size_t kMaxSeriesPerName = 2000;

} // namespace savory
