#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory::bench {

// The direction in which a value improves.
enum class Direction
{
  Lower,
  Higher,
};

// One measured quantity, with one value for each seed. Baselines are named
// values of the same run for comparison. The bound is the best value that is
// theoretically possible.
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

// One curve of a plot.
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

// The results of a run. The signature is a hash of all decisions on the fixed
// workloads; measured times are not part of it.
struct Results
{
  std::vector<Metric> mMetrics;
  std::vector<Plot> mPlots;
  std::uint64_t mSignature = 0;
};

// Adds a decision to the signature.
void
MixDecision(Results& aResults, std::string_view aDecision);

// The median of the values, or 0 without values.
double
Median(const Metric& aMetric);

// Whether the median meets the target. True without a target.
bool
MeetsTarget(const Metric& aMetric);

// Prints the table of metrics, with the median and spread of their values, and
// "signature N" as the last line.
void
PrintTable(const Results& aResults);

// Writes results.json and one SVG file for each plot into a folder, which is
// created if needed. Returns false when a file cannot be written.
bool
WriteFiles(const Results& aResults, const std::string& aFolder);

} // namespace savory::bench
