#include "savory/core/metrics.h"

#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>

namespace savory {

namespace {

namespace bh = boost::histogram;

// Upper bounds of the buckets. They are dense around the targets of 0.81 s to
// the first token and 48 ms between tokens.
const std::vector<double> kBucketBoundsSeconds{
  0,   0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.048, 0.07, 0.1, 0.2,
  0.4, 0.6,    0.81,  1,     1.5,   2.5,  5,    10,   30,    60,   120
};

// Buckets of the exposition format include their upper bound, but bins of the
// library include their lower one. Values are therefore stored negated.
std::vector<double>
NegatedBounds()
{
  std::vector<double> bounds;
  for (auto at = kBucketBoundsSeconds.rbegin();
       at != kBucketBoundsSeconds.rend();
       ++at) {
    bounds.push_back(-*at);
  }
  return bounds;
}

using Axis = bh::axis::variable<double>;
using LatencyHistogram = decltype(bh::make_histogram(Axis(NegatedBounds())));

enum class MetricKind
{
  Counter,
  Gauge,
  Histogram,
};

constexpr const char* kKindNames[] = { "counter", "gauge", "histogram" };

struct LatencySeries
{
  LatencyHistogram mBuckets = bh::make_histogram(Axis(NegatedBounds()));
  double mSum = 0;
  double mCount = 0;
};

// The series of one name. The keys of `mSeries` are the labels in the
// exposition format, so that they are escaped only once.
struct Family
{
  MetricKind mKind = MetricKind::Counter;
  std::string mHelp;
  std::map<std::string, std::size_t> mSeries;
};

std::string
Escape(std::string_view aText, bool aEscapeQuotes)
{
  std::string result;
  for (char character : aText) {
    if (character == '\\') {
      result += "\\\\";
    } else if (character == '\n') {
      result += "\\n";
    } else if (character == '"' && aEscapeQuotes) {
      result += "\\\"";
    } else {
      result += character;
    }
  }
  return result;
}

// Replaces each character that the format forbids in a name by an underscore.
std::string
SanitizeName(std::string_view aName, bool aAllowColon)
{
  std::string result;
  for (char character : aName) {
    bool alpha = (character >= 'a' && character <= 'z') ||
                 (character >= 'A' && character <= 'Z') || character == '_' ||
                 (character == ':' && aAllowColon);
    bool digit = character >= '0' && character <= '9' && !result.empty();
    result += alpha || digit ? character : '_';
  }
  return result.empty() ? "_" : result;
}

std::string
FormatLabels(const Labels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + SanitizeName(name, false) + "=\"" +
            Escape(value, true) + "\"";
  }
  return text;
}

// Formats without an exponent, because scrapers compare bounds as text.
std::string
FormatBound(double aBound)
{
  char digits[32];
  auto end = std::to_chars(
    digits, digits + sizeof digits, aBound, std::chars_format::fixed);
  return { digits, end.ptr };
}

std::string
FormatNumber(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  char digits[32];
  auto end = std::to_chars(digits, digits + sizeof digits, aValue);
  return { digits, end.ptr };
}

void
AppendSample(std::string& aText,
             const std::string& aName,
             const std::string& aLabels,
             double aValue)
{
  aText += aName;
  if (!aLabels.empty()) {
    aText += "{" + aLabels + "}";
  }
  aText += " " + FormatNumber(aValue) + "\n";
}

} // namespace

struct MetricsData
{
  std::map<std::string, Family> mFamilies;
  std::deque<double> mValues;
  std::deque<LatencySeries> mHistograms;
};

namespace {

// The index of a series, which is created if needed.
std::size_t
FindOrAddSeries(MetricsData& aData,
                MetricKind aKind,
                const std::string& aName,
                const std::string& aHelp,
                const Labels& aLabels)
{
  auto add = [&aData, aKind] {
    if (aKind == MetricKind::Histogram) {
      aData.mHistograms.emplace_back();
      return aData.mHistograms.size() - 1;
    }
    aData.mValues.push_back(0);
    return aData.mValues.size() - 1;
  };
  auto [at, added] = aData.mFamilies.try_emplace(SanitizeName(aName, true));
  Family& family = at->second;
  if (added) {
    family.mKind = aKind;
    family.mHelp = aHelp;
  } else if (family.mKind != aKind) {
    return add();
  }
  std::string labels = FormatLabels(aLabels);
  auto found = family.mSeries.find(labels);
  if (found == family.mSeries.end() &&
      family.mSeries.size() >= kMaxSeriesPerName) {
    labels = "overflow=\"true\"";
    found = family.mSeries.find(labels);
  }
  if (found == family.mSeries.end()) {
    found = family.mSeries.emplace(labels, add()).first;
  }
  return found->second;
}

} // namespace

Metrics::Metrics()
  : mData(std::make_unique<MetricsData>())
{
}

Metrics::~Metrics() = default;

CounterHandle
Metrics::Counter(const std::string& aName,
                 const std::string& aHelp,
                 const Labels& aLabels)
{
  return { FindOrAddSeries(
    *mData, MetricKind::Counter, aName, aHelp, aLabels) };
}

GaugeHandle
Metrics::Gauge(const std::string& aName,
               const std::string& aHelp,
               const Labels& aLabels)
{
  return { FindOrAddSeries(*mData, MetricKind::Gauge, aName, aHelp, aLabels) };
}

HistogramHandle
Metrics::Histogram(const std::string& aName,
                   const std::string& aHelp,
                   const Labels& aLabels)
{
  return { FindOrAddSeries(
    *mData, MetricKind::Histogram, aName, aHelp, aLabels) };
}

void
Metrics::Add(CounterHandle aCounter, double aValue)
{
  mData->mValues[aCounter.mIndex] += aValue;
}

void
Metrics::Set(GaugeHandle aGauge, double aValue)
{
  mData->mValues[aGauge.mIndex] = aValue;
}

void
Metrics::Observe(HistogramHandle aHistogram, double aSeconds)
{
  LatencySeries& series = mData->mHistograms[aHistogram.mIndex];
  series.mBuckets(-aSeconds);
  series.mSum += aSeconds;
  series.mCount += 1;
}

double
Metrics::Value(CounterHandle aCounter) const
{
  return mData->mValues[aCounter.mIndex];
}

double
Metrics::Value(GaugeHandle aGauge) const
{
  return mData->mValues[aGauge.mIndex];
}

std::string
Metrics::ToText() const
{
  std::string text;
  for (const auto& [name, family] : mData->mFamilies) {
    text += "# HELP " + name + " " + Escape(family.mHelp, false) + "\n";
    text += "# TYPE " + name + " " +
            kKindNames[static_cast<std::size_t>(family.mKind)] + "\n";
    for (const auto& [labels, index] : family.mSeries) {
      if (family.mKind != MetricKind::Histogram) {
        AppendSample(text, name, labels, mData->mValues[index]);
        continue;
      }
      const LatencySeries& series = mData->mHistograms[index];
      std::string prefix = labels.empty() ? "" : labels + ",";
      // Because of the negated values, the bins run from the longest time to
      // the shortest. Times above the last bound are in the underflow bin at
      // -1, values at or below 0 in the overflow bin.
      int bins = static_cast<int>(kBucketBoundsSeconds.size()) - 1;
      double sum = series.mBuckets.at(bins);
      for (int bin = bins - 1; bin >= 0; --bin) {
        sum += series.mBuckets.at(bin);
        double bound =
          kBucketBoundsSeconds[static_cast<std::size_t>(bins - bin)];
        AppendSample(text,
                     name + "_bucket",
                     prefix + "le=\"" + FormatBound(bound) + "\"",
                     sum);
      }
      AppendSample(
        text, name + "_bucket", prefix + "le=\"+Inf\"", series.mCount);
      AppendSample(text, name + "_sum", labels, series.mSum);
      AppendSample(text, name + "_count", labels, series.mCount);
    }
  }
  return text;
}

} // namespace savory
