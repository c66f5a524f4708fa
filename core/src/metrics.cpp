#include "savory/core/metrics.h"

#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>

namespace savory {

namespace {

namespace bh = boost::histogram;

// Upper bounds of the buckets, in seconds. They lie close around the targets of
// 0.81 s to the first token and 48 ms between tokens.
const std::vector<double> kBounds{ 0,    0.0005, 0.001, 0.002, 0.005, 0.01,
                                   0.02, 0.03,   0.048, 0.07,  0.1,   0.2,
                                   0.4,  0.6,    0.81,  1,     1.5,   2.5,
                                   5,    10,     30,    60,    120 };

// Intervals of the exposition format include their upper bound, those of the
// library their lower one: values are stored negated.
std::vector<double>
NegatedBounds()
{
  std::vector<double> bounds;
  for (auto at = kBounds.rbegin(); at != kBounds.rend(); ++at) {
    bounds.push_back(-*at);
  }
  return bounds;
}

using Axis = bh::axis::variable<double>;
using LatencyHistogram = decltype(bh::make_histogram(Axis(NegatedBounds())));

enum class Kind
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

// A family of series by their label text, which is escaped once.
struct Family
{
  Kind mKind = Kind::Counter;
  std::string mHelp;
  std::map<std::string, std::size_t> mSeries;
};

std::string
Escape(std::string_view aText, bool aQuotes)
{
  std::string result;
  for (char letter : aText) {
    if (letter == '\\') {
      result += "\\\\";
    } else if (letter == '\n') {
      result += "\\n";
    } else if (letter == '"' && aQuotes) {
      result += "\\\"";
    } else {
      result += letter;
    }
  }
  return result;
}

// A name in which each letter that the format forbids is an underscore.
std::string
CleanName(std::string_view aName, bool aColon)
{
  std::string result;
  for (char letter : aName) {
    bool alpha = (letter >= 'a' && letter <= 'z') ||
                 (letter >= 'A' && letter <= 'Z') || letter == '_' ||
                 (letter == ':' && aColon);
    bool digit = letter >= '0' && letter <= '9' && !result.empty();
    result += alpha || digit ? letter : '_';
  }
  return result.empty() ? "_" : result;
}

std::string
LabelText(const Labels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + CleanName(name, false) + "=\"" +
            Escape(value, true) + "\"";
  }
  return text;
}

// A bound without an exponent, because scrapers compare the texts of bounds.
std::string
BoundText(double aBound)
{
  char digits[32];
  auto end = std::to_chars(
    digits, digits + sizeof digits, aBound, std::chars_format::fixed);
  return { digits, end.ptr };
}

std::string
NumberText(double aValue)
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
AddLine(std::string& aText,
        const std::string& aName,
        const std::string& aLabels,
        double aValue)
{
  aText += aName;
  if (!aLabels.empty()) {
    aText += "{" + aLabels + "}";
  }
  aText += " " + NumberText(aValue) + "\n";
}

} // namespace

struct MetricsData
{
  std::map<std::string, Family> mFamilies;
  std::deque<double> mValues;
  std::deque<LatencySeries> mHistograms;
};

namespace {

// The index of a series, made when it is new.
std::size_t
SeriesOf(MetricsData& aData,
         Kind aKind,
         const std::string& aName,
         const std::string& aHelp,
         const Labels& aLabels)
{
  auto add = [&aData, aKind] {
    if (aKind == Kind::Histogram) {
      aData.mHistograms.emplace_back();
      return aData.mHistograms.size() - 1;
    }
    aData.mValues.push_back(0);
    return aData.mValues.size() - 1;
  };
  auto [at, added] = aData.mFamilies.try_emplace(CleanName(aName, true));
  Family& family = at->second;
  if (added) {
    family.mKind = aKind;
    family.mHelp = aHelp;
  } else if (family.mKind != aKind) {
    return add();
  }
  std::string labels = LabelText(aLabels);
  auto found = family.mSeries.find(labels);
  if (found == family.mSeries.end() && family.mSeries.size() >= kMaxSeries) {
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
  return { SeriesOf(*mData, Kind::Counter, aName, aHelp, aLabels) };
}

GaugeHandle
Metrics::Gauge(const std::string& aName,
               const std::string& aHelp,
               const Labels& aLabels)
{
  return { SeriesOf(*mData, Kind::Gauge, aName, aHelp, aLabels) };
}

HistogramHandle
Metrics::Histogram(const std::string& aName,
                   const std::string& aHelp,
                   const Labels& aLabels)
{
  return { SeriesOf(*mData, Kind::Histogram, aName, aHelp, aLabels) };
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
Metrics::Text() const
{
  std::string text;
  for (const auto& [name, family] : mData->mFamilies) {
    text += "# HELP " + name + " " + Escape(family.mHelp, false) + "\n";
    text += "# TYPE " + name + " " +
            kKindNames[static_cast<std::size_t>(family.mKind)] + "\n";
    for (const auto& [labels, index] : family.mSeries) {
      if (family.mKind != Kind::Histogram) {
        AddLine(text, name, labels, mData->mValues[index]);
        continue;
      }
      const LatencySeries& series = mData->mHistograms[index];
      std::string prefix = labels.empty() ? "" : labels + ",";
      // The library's bins run from the longest time to the shortest, with
      // those above the last bound in the underflow bin at -1. Values at or
      // below 0 are in the overflow bin.
      int bins = static_cast<int>(kBounds.size()) - 1;
      double sum = series.mBuckets.at(bins);
      for (int bin = bins - 1; bin >= 0; --bin) {
        sum += series.mBuckets.at(bin);
        double bound = kBounds[static_cast<std::size_t>(bins - bin)];
        AddLine(text,
                name + "_bucket",
                prefix + "le=\"" + BoundText(bound) + "\"",
                sum);
      }
      AddLine(text, name + "_bucket", prefix + "le=\"+Inf\"", series.mCount);
      AddLine(text, name + "_sum", labels, series.mSum);
      AddLine(text, name + "_count", labels, series.mCount);
    }
  }
  return text;
}

} // namespace savory
