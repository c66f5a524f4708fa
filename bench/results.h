#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory::bench {

// Which side of the target a value must lie on.
enum class Direction
{
  Lower,
  Higher,
};

// One measured quantity. The values are one for each seed; the table shows
// their median and spread. Baselines are named values of the same run, and the
// bound is what theory allows.
struct Metric
{
  std::string mName;
  std::string mUnit;
  Direction mDirection = Direction::Lower;
  std::vector<double> mValues;
  std::vector<std::pair<std::string, double>> mBaselines;
  std::optional<double> mBound;
  std::optional<double> mTarget;
};

// A curve of a plot.
struct Series
{
  std::string mName;
  std::vector<std::pair<double, double>> mPoints;
};

struct Plot
{
  std::string mName;
  std::string mXLabel;
  std::string mYLabel;
  std::vector<Series> mSeries;
};

// What a run collects. The signature is a hash of all decisions of the fixed
// workloads; times are not part of it.
struct Results
{
  std::vector<Metric> mMetrics;
  std::vector<Plot> mPlots;
  std::uint64_t mSignature = 0;
};

// Mixes a decision into the signature.
void
MixDecision(Results& aResults, std::string_view aDecision);

// The median of a line's values.
double
Median(const Metric& aMetric);

// Whether the median meets the target; a line without a target meets it.
bool
MeetsTarget(const Metric& aMetric);

// Prints the table of lines and, last, "signature N".
void
PrintTable(const Results& aResults);

// Writes results.json and one SVG file for each plot into a folder. Returns
// false when a file cannot be written.
bool
WriteFiles(const Results& aResults, const std::string& aFolder);

} // namespace savory::bench
