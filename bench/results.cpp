#include "results.h"

#include "plot.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace savory::bench {

using nlohmann::json;

void
MixDecision(Results& aResults, std::string_view aDecision)
{
  aResults.mSignature = Hash64(aDecision, aResults.mSignature);
}

double
Median(const Metric& aMetric)
{
  if (aMetric.mValues.empty()) {
    return 0;
  }
  auto sorted = aMetric.mValues;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}

bool
MeetsTarget(const Metric& aMetric)
{
  if (!aMetric.mTarget) {
    return true;
  }
  double value = Median(aMetric);
  return aMetric.mDirection == Direction::Lower ? value <= *aMetric.mTarget
                                                : value >= *aMetric.mTarget;
}

void
PrintTable(const Results& aResults)
{
  std::printf("%-46s %12s %21s %10s %10s %-6s %s\n",
              "line",
              "median",
              "spread",
              "target",
              "bound",
              "meets",
              "baselines");
  for (const auto& metric : aResults.mMetrics) {
    auto [low, high] =
      std::minmax_element(metric.mValues.begin(), metric.mValues.end());
    std::string baselines;
    for (const auto& [name, value] : metric.mBaselines) {
      char text[96];
      std::snprintf(text, sizeof text, "%s %.4g; ", name.c_str(), value);
      baselines += text;
    }
    char target[32] = "-";
    char bound[32] = "-";
    if (metric.mTarget) {
      std::snprintf(target,
                    sizeof target,
                    "%s%.4g",
                    metric.mDirection == Direction::Lower ? "<=" : ">=",
                    *metric.mTarget);
    }
    if (metric.mBound) {
      std::snprintf(bound, sizeof bound, "%.4g", *metric.mBound);
    }
    std::string name = metric.mName + " [" + metric.mUnit + "]";
    std::printf("%-46s %12.5g %10.4g..%-9.4g %10s %10s %-6s %s\n",
                name.c_str(),
                Median(metric),
                metric.mValues.empty() ? 0 : *low,
                metric.mValues.empty() ? 0 : *high,
                target,
                bound,
                !metric.mTarget       ? "-"
                : MeetsTarget(metric) ? "yes"
                                      : "NO",
                baselines.c_str());
  }
  std::printf("signature %llu\n",
              static_cast<unsigned long long>(aResults.mSignature));
}

bool
WriteFiles(const Results& aResults, const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  json metrics = json::array();
  for (const auto& metric : aResults.mMetrics) {
    metrics.push_back({ { "name", metric.mName },
                        { "unit", metric.mUnit },
                        { "values", metric.mValues },
                        { "median", Median(metric) },
                        { "baselines", metric.mBaselines },
                        { "meets", MeetsTarget(metric) } });
    if (metric.mTarget) {
      metrics.back()["target"] = *metric.mTarget;
    }
    if (metric.mBound) {
      metrics.back()["bound"] = *metric.mBound;
    }
  }
  for (const auto& plot : aResults.mPlots) {
    std::ofstream svg(aFolder + "/" + plot.mName + ".svg");
    svg << PlotToSvg(plot);
    if (!svg.good()) {
      return false;
    }
  }
  std::ofstream file(aFolder + "/results.json");
  file << json{ { "lines", metrics }, { "signature", aResults.mSignature } }
            .dump(2)
       << "\n";
  return file.good();
}

} // namespace savory::bench
