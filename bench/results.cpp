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
Median(const Line& aLine)
{
  if (aLine.mValues.empty()) {
    return 0;
  }
  auto sorted = aLine.mValues;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}

bool
MeetsTarget(const Line& aLine)
{
  if (!aLine.mTarget) {
    return true;
  }
  double value = Median(aLine);
  return aLine.mBetter == Better::Lower ? value <= *aLine.mTarget
                                        : value >= *aLine.mTarget;
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
  for (const auto& line : aResults.mLines) {
    auto [low, high] =
      std::minmax_element(line.mValues.begin(), line.mValues.end());
    std::string baselines;
    for (const auto& [name, value] : line.mBaselines) {
      char text[96];
      std::snprintf(text, sizeof text, "%s %.4g; ", name.c_str(), value);
      baselines += text;
    }
    char target[32] = "-";
    char bound[32] = "-";
    if (line.mTarget) {
      std::snprintf(target,
                    sizeof target,
                    "%s%.4g",
                    line.mBetter == Better::Lower ? "<=" : ">=",
                    *line.mTarget);
    }
    if (line.mBound) {
      std::snprintf(bound, sizeof bound, "%.4g", *line.mBound);
    }
    std::string name = line.mName + " [" + line.mUnit + "]";
    std::printf("%-46s %12.5g %10.4g..%-9.4g %10s %10s %-6s %s\n",
                name.c_str(),
                Median(line),
                line.mValues.empty() ? 0 : *low,
                line.mValues.empty() ? 0 : *high,
                target,
                bound,
                !line.mTarget       ? "-"
                : MeetsTarget(line) ? "yes"
                                    : "NO",
                baselines.c_str());
  }
  std::printf("signature %llu\n",
              static_cast<unsigned long long>(aResults.mSignature));
}

bool
WriteFiles(const Results& aResults, const std::string& aFolder)
{
  std::error_code failed;
  std::filesystem::create_directories(aFolder, failed);
  json lines = json::array();
  for (const auto& line : aResults.mLines) {
    lines.push_back({ { "name", line.mName },
                      { "unit", line.mUnit },
                      { "values", line.mValues },
                      { "median", Median(line) },
                      { "baselines", line.mBaselines },
                      { "meets", MeetsTarget(line) } });
    if (line.mTarget) {
      lines.back()["target"] = *line.mTarget;
    }
    if (line.mBound) {
      lines.back()["bound"] = *line.mBound;
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
  file << json{ { "lines", lines }, { "signature", aResults.mSignature } }.dump(
            2)
       << "\n";
  return file.good();
}

} // namespace savory::bench
