#pragma once

#include "results.h"

#include <string>

namespace savory::bench {

// Renders a plot as an SVG document: axes that start at zero with round tick
// values, labels, one curve for each series, and a legend.
std::string
PlotToSvg(const Plot& aPlot);

} // namespace savory::bench
