#include "plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace savory::bench {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kLeft = 80;
constexpr double kRight = 190;
constexpr double kTop = 40;
constexpr double kBottom = 60;
constexpr double kTicks = 5;

// Colours that stay distinct for readers with colour blindness (Okabe, Ito).
constexpr std::array<const char*, 6> kColors{ "#0072b2", "#d55e00", "#009e73",
                                              "#cc79a7", "#e69f00", "#000000" };

// One axis: the end of its range, the distance of its ticks, and the pixels of
// zero and of the end.
struct Axis
{
  double mEnd = 1;
  double mTick = 1;
  double mFrom = 0;
  double mTo = 0;
};

Axis
MakeAxis(double aLargest, double aFrom, double aTo)
{
  double rough = std::max(aLargest, 1e-9) / kTicks;
  double power = std::pow(10, std::floor(std::log10(rough)));
  double tick = 10 * power;
  for (double step : { 5.0, 2.0, 1.0 }) {
    if (step * power >= rough) {
      tick = step * power;
    }
  }
  return { std::ceil(aLargest / tick - 1e-9) * tick, tick, aFrom, aTo };
}

double
Pixel(const Axis& aAxis, double aValue)
{
  return aAxis.mFrom + (aAxis.mTo - aAxis.mFrom) * aValue / aAxis.mEnd;
}

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", aValue);
  return text;
}

std::string
Escape(const std::string& aText)
{
  std::string text;
  for (char letter : aText) {
    switch (letter) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      default:
        text += letter;
    }
  }
  return text;
}

std::string
Text(double aX, double aY, const std::string& aText, const std::string& aMore)
{
  return "<text x='" + Number(aX) + "' y='" + Number(aY) + "' " + aMore + ">" +
         Escape(aText) + "</text>\n";
}

std::string
Stroke(double aX1, double aY1, double aX2, double aY2)
{
  return "<line x1='" + Number(aX1) + "' y1='" + Number(aY1) + "' x2='" +
         Number(aX2) + "' y2='" + Number(aY2) + "' ";
}

std::string
DrawAxes(const Plot& aPlot, const Axis& aX, const Axis& aY)
{
  std::string svg;
  for (double value = 0; value <= aX.mEnd + aX.mTick / 2; value += aX.mTick) {
    double at = Pixel(aX, value);
    svg += Stroke(at, aY.mFrom, at, aY.mFrom + 5) + "stroke='black'/>\n";
    svg += Text(at, aY.mFrom + 20, Number(value), "text-anchor='middle'");
  }
  for (double value = 0; value <= aY.mEnd + aY.mTick / 2; value += aY.mTick) {
    double at = Pixel(aY, value);
    svg += Stroke(aX.mFrom, at, aX.mTo, at) + "stroke='#dddddd'/>\n";
    svg += Text(aX.mFrom - 8, at + 4, Number(value), "text-anchor='end'");
  }
  svg += Stroke(aX.mFrom, aY.mFrom, aX.mTo, aY.mFrom) + "stroke='black'/>\n";
  svg += Stroke(aX.mFrom, aY.mFrom, aX.mFrom, aY.mTo) + "stroke='black'/>\n";
  svg += Text((aX.mFrom + aX.mTo) / 2,
              kHeight - 15,
              aPlot.mXLabel,
              "text-anchor='middle'");
  double middle = (aY.mFrom + aY.mTo) / 2;
  svg += Text(18,
              middle,
              aPlot.mYLabel,
              "text-anchor='middle' transform='rotate(-90 18 " +
                Number(middle) + ")'");
  return svg + Text(aX.mFrom, kTop - 15, aPlot.mName, "font-weight='bold'");
}

} // namespace

std::string
PlotToSvg(const Plot& aPlot)
{
  // 1. Ranges of both axes.
  double largestX = 0;
  double largestY = 0;
  for (const auto& series : aPlot.mSeries) {
    for (const auto& [x, y] : series.mPoints) {
      largestX = std::max(largestX, x);
      largestY = std::max(largestY, y);
    }
  }
  Axis x = MakeAxis(largestX, kLeft, kWidth - kRight);
  Axis y = MakeAxis(largestY, kHeight - kBottom, kTop);
  // 2. Frame and axes.
  std::string svg = "<svg xmlns='http://www.w3.org/2000/svg' width='" +
                    Number(kWidth) + "' height='" + Number(kHeight) +
                    "' font-family='sans-serif' font-size='12'>\n"
                    "<rect width='100%' height='100%' fill='white'/>\n" +
                    DrawAxes(aPlot, x, y);
  // 3. The lines and their legend.
  for (std::size_t i = 0; i < aPlot.mSeries.size(); ++i) {
    const Series& series = aPlot.mSeries[i];
    std::string color = kColors[i % kColors.size()];
    svg += "<polyline fill='none' stroke-width='1.8' stroke='" + color +
           "' points='";
    for (const auto& [pointX, pointY] : series.mPoints) {
      svg += Number(Pixel(x, pointX)) + "," + Number(Pixel(y, pointY)) + " ";
    }
    svg += "'/>\n";
    double row = kTop + 10 + 20 * static_cast<double>(i);
    double legend = kWidth - kRight + 15;
    svg += Stroke(legend, row, legend + 20, row) + "stroke-width='3' stroke='" +
           color + "'/>\n";
    svg += Text(legend + 26, row + 4, series.mName, "");
  }
  return svg + "</svg>\n";
}

} // namespace savory::bench
