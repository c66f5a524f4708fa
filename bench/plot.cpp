#include "plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace savory::bench {

namespace {

constexpr double kWidthPixels = 720;
constexpr double kHeightPixels = 420;
constexpr double kLeftMargin = 80;
constexpr double kRightMargin = 190;
constexpr double kTopMargin = 40;
constexpr double kBottomMargin = 60;
constexpr double kMaxTickIntervals = 5;

// Palette of Okabe and Ito, distinguishable with colour blindness.
constexpr std::array<const char*, 6> kColors{ "#0072b2", "#d55e00", "#009e73",
                                              "#cc79a7", "#e69f00", "#000000" };

// One axis from zero to mMaxValue. The pixels are the positions of both ends.
struct Axis
{
  double mMaxValue = 1;
  double mTickStep = 1;
  double mStartPixel = 0;
  double mEndPixel = 0;
};

Axis
MakeAxis(double aMaxValue, double aStartPixel, double aEndPixel)
{
  double minStep = std::max(aMaxValue, 1e-9) / kMaxTickIntervals;
  double powerOfTen = std::pow(10, std::floor(std::log10(minStep)));
  double tickStep = 10 * powerOfTen;
  for (double multiple : { 5.0, 2.0, 1.0 }) {
    if (multiple * powerOfTen >= minStep) {
      tickStep = multiple * powerOfTen;
    }
  }
  return { std::ceil(aMaxValue / tickStep - 1e-9) * tickStep,
           tickStep,
           aStartPixel,
           aEndPixel };
}

double
ToPixel(const Axis& aAxis, double aValue)
{
  return aAxis.mStartPixel +
         (aAxis.mEndPixel - aAxis.mStartPixel) * aValue / aAxis.mMaxValue;
}

std::string
FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", aValue);
  return text;
}

std::string
EscapeXml(const std::string& aText)
{
  std::string text;
  for (char character : aText) {
    switch (character) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      default:
        text += character;
    }
  }
  return text;
}

std::string
MakeText(double aX,
         double aY,
         const std::string& aText,
         const std::string& aAttributes)
{
  return "<text x='" + FormatNumber(aX) + "' y='" + FormatNumber(aY) + "' " +
         aAttributes + ">" + EscapeXml(aText) + "</text>\n";
}

std::string
BeginLine(double aX1, double aY1, double aX2, double aY2)
{
  return "<line x1='" + FormatNumber(aX1) + "' y1='" + FormatNumber(aY1) +
         "' x2='" + FormatNumber(aX2) + "' y2='" + FormatNumber(aY2) + "' ";
}

std::string
DrawAxes(const Plot& aPlot, const Axis& aX, const Axis& aY)
{
  std::string svg;
  for (double value = 0; value <= aX.mMaxValue + aX.mTickStep / 2;
       value += aX.mTickStep) {
    double pixel = ToPixel(aX, value);
    svg += BeginLine(pixel, aY.mStartPixel, pixel, aY.mStartPixel + 5) +
           "stroke='black'/>\n";
    svg += MakeText(
      pixel, aY.mStartPixel + 20, FormatNumber(value), "text-anchor='middle'");
  }
  for (double value = 0; value <= aY.mMaxValue + aY.mTickStep / 2;
       value += aY.mTickStep) {
    double pixel = ToPixel(aY, value);
    svg += BeginLine(aX.mStartPixel, pixel, aX.mEndPixel, pixel) +
           "stroke='#dddddd'/>\n";
    svg += MakeText(
      aX.mStartPixel - 8, pixel + 4, FormatNumber(value), "text-anchor='end'");
  }
  svg +=
    BeginLine(aX.mStartPixel, aY.mStartPixel, aX.mEndPixel, aY.mStartPixel) +
    "stroke='black'/>\n";
  svg +=
    BeginLine(aX.mStartPixel, aY.mStartPixel, aX.mStartPixel, aY.mEndPixel) +
    "stroke='black'/>\n";
  svg += MakeText((aX.mStartPixel + aX.mEndPixel) / 2,
                  kHeightPixels - 15,
                  aPlot.mXLabel,
                  "text-anchor='middle'");
  double middle = (aY.mStartPixel + aY.mEndPixel) / 2;
  svg += MakeText(18,
                  middle,
                  aPlot.mYLabel,
                  "text-anchor='middle' transform='rotate(-90 18 " +
                    FormatNumber(middle) + ")'");
  return svg +
         MakeText(
           aX.mStartPixel, kTopMargin - 15, aPlot.mName, "font-weight='bold'");
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
  Axis x = MakeAxis(largestX, kLeftMargin, kWidthPixels - kRightMargin);
  Axis y = MakeAxis(largestY, kHeightPixels - kBottomMargin, kTopMargin);
  // 2. Frame and axes.
  std::string svg = "<svg xmlns='http://www.w3.org/2000/svg' width='" +
                    FormatNumber(kWidthPixels) + "' height='" +
                    FormatNumber(kHeightPixels) +
                    "' font-family='sans-serif' font-size='12'>\n"
                    "<rect width='100%' height='100%' fill='white'/>\n" +
                    DrawAxes(aPlot, x, y);
  // 3. Curves and legend.
  for (std::size_t i = 0; i < aPlot.mSeries.size(); ++i) {
    const Series& series = aPlot.mSeries[i];
    std::string color = kColors[i % kColors.size()];
    svg += "<polyline fill='none' stroke-width='1.8' stroke='" + color +
           "' points='";
    for (const auto& [pointX, pointY] : series.mPoints) {
      svg += FormatNumber(ToPixel(x, pointX)) + "," +
             FormatNumber(ToPixel(y, pointY)) + " ";
    }
    svg += "'/>\n";
    double row = kTopMargin + 10 + 20 * static_cast<double>(i);
    double legend = kWidthPixels - kRightMargin + 15;
    svg += BeginLine(legend, row, legend + 20, row) +
           "stroke-width='3' stroke='" + color + "'/>\n";
    svg += MakeText(legend + 26, row + 4, series.mName, "");
  }
  return svg + "</svg>\n";
}

} // namespace savory::bench
