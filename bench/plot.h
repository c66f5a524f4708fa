#pragma once

#include "results.h"

#include <string>

namespace savory::bench {

// A plot as an SVG document: axes from zero with round ticks, labels, one
// line for each series and a legend.
std::string
PlotToSvg(const Plot& aPlot);

} // namespace savory::bench
