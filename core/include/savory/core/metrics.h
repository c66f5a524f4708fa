#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savory {

// Names and values of the labels of one series, such as {"customer", "c1"}.
using Labels = std::vector<std::pair<std::string, std::string>>;

// A series of a registry, taken once and used on the hot path without a
// look-up. Each is valid as long as its registry.
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

// The metrics of a process. One thread uses it.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // The series of a name and labels, made when it is new. The help text of the
  // first call with a name counts. A name keeps its kind: asked for as another
  // kind it gives a series that is not exported. A name with more than
  // kMaxSeriesPerName series gives the one labelled overflow="true", so that
  // values chosen by callers cannot exhaust the memory.
  CounterHandle Counter(const std::string& aName,
                        const std::string& aHelp,
                        const Labels& aLabels = {});
  GaugeHandle Gauge(const std::string& aName,
                    const std::string& aHelp,
                    const Labels& aLabels = {});

  // A histogram of seconds with bounds from 0.5 ms to 120 s.
  HistogramHandle Histogram(const std::string& aName,
                            const std::string& aHelp,
                            const Labels& aLabels = {});

  void Add(CounterHandle aCounter, double aValue = 1);
  void Set(GaugeHandle aGauge, double aValue);
  void Observe(HistogramHandle aHistogram, double aSeconds);
  double Value(CounterHandle aCounter) const;
  double Value(GaugeHandle aGauge) const;

  // The text exposition format, version 0.0.4.
  std::string ToText() const;

private:
  std::unique_ptr<MetricsData> mData;
};

inline constexpr std::size_t kMaxSeriesPerName = 2000;

} // namespace savory
