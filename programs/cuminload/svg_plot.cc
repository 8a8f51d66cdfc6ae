#include "cuminload/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace cumin::load {

namespace {

constexpr double kWidth = 900;
constexpr double kPanelHeight = 220;
constexpr double kMargin = 60;
constexpr double kGap = 50;
constexpr double kLegendStep = 120;
constexpr double kFloorMs = 0.1;
constexpr double kMicrosPerMilli = 1000.0;

constexpr std::array<const char*, kAttemptEndCount> kColors = {
    "#4c9f70", "#e0a030", "#b05fc0", "#808080", "#d03030", "#301010"};

/** Position of a panel and the range of its axes. */
struct Panel {
  double top = 0;
  double highest = 1;
  std::size_t seconds = 1;

  double X(double second) const {
    return kMargin + second / static_cast<double>(seconds) * kWidth;
  }
  double Y(double part) const { return top + kPanelHeight * (1 - part); }
};

double Millis(Duration length) {
  return std::max(kFloorMs,
                  static_cast<double>(length.count()) / kMicrosPerMilli);
}

/** @returns the position on a logarithmic axis, 0 at kFloorMs and 1 at highest
 */
double LogPart(double ms, double highest) {
  return std::log(ms / kFloorMs) / std::log(highest / kFloorMs);
}

void WriteText(std::ostream& out, double x, double y, const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << text << "</text>\n";
}

void WriteLatencyLine(std::ostream& out, const Panel& panel,
                      const LoadReport& report, Duration LatencySummary::*value,
                      const char* color) {
  out << "<polyline fill=\"none\" stroke=\"" << color << "\" points=\"";
  for (std::size_t i = 0; i < report.seconds.size(); ++i) {
    const double ms = Millis(report.seconds[i].latency.*value);
    out << panel.X(static_cast<double>(i) + 0.5) << ','
        << panel.Y(LogPart(ms, panel.highest)) << ' ';
  }
  out << "\"/>\n";
}

void WriteLatencyPanel(std::ostream& out, const LoadReport& report) {
  Panel panel;
  panel.top = kMargin;
  panel.seconds = report.seconds.size();
  for (const CallSummary& it : report.seconds) {
    panel.highest = std::max(panel.highest, Millis(it.latency.p99));
  }
  WriteText(out, kMargin, panel.top - 10,
            "latency of calls that ran, ms, log scale: p50 blue, p99 red");
  for (double ms = kFloorMs; ms <= panel.highest; ms *= 10) {
    const double y = panel.Y(LogPart(ms, panel.highest));
    out << "<line x1=\"" << kMargin << "\" x2=\"" << kMargin + kWidth
        << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>\n";
    std::ostringstream label;
    label << ms;
    WriteText(out, 10, y, label.str());
  }
  WriteLatencyLine(out, panel, report, &LatencySummary::p50, "#3060c0");
  WriteLatencyLine(out, panel, report, &LatencySummary::p99, "#d03030");
}

void WriteBar(std::ostream& out, const Panel& panel, const CallSummary& second,
              std::size_t position) {
  double below = 0;
  const double x = panel.X(static_cast<double>(position));
  const double width = panel.X(static_cast<double>(position) + 1) - x;
  for (std::size_t end = 0; end < kAttemptEndCount; ++end) {
    const double part = static_cast<double>(second.ends[end]) / panel.highest;
    out << "<rect x=\"" << x << "\" y=\"" << panel.Y(below + part)
        << "\" width=\"" << width << "\" height=\"" << part * kPanelHeight
        << "\" fill=\"" << kColors[end] << "\"/>\n";
    below += part;
  }
}

void WriteEndsPanel(std::ostream& out, const LoadReport& report) {
  Panel panel;
  panel.top = kMargin + kPanelHeight + kGap;
  panel.seconds = report.seconds.size();
  for (const CallSummary& it : report.seconds) {
    panel.highest = std::max(panel.highest, static_cast<double>(it.calls));
  }
  for (std::size_t i = 0; i < report.seconds.size(); ++i) {
    WriteBar(out, panel, report.seconds[i], i);
  }
  double x = kMargin;
  for (std::size_t end = 0; end < kAttemptEndCount; ++end) {
    out << "<rect x=\"" << x << "\" y=\"" << panel.top - 20
        << "\" width=\"10\" height=\"10\" fill=\"" << kColors[end] << "\"/>\n";
    WriteText(out, x + 14, panel.top - 11,
              ToString(static_cast<AttemptEnd>(end)));
    x += kLegendStep;
  }
  WriteText(out, 10, panel.Y(1) + 10,
            std::to_string(static_cast<int>(panel.highest)));
  WriteText(out, kMargin, panel.top + kPanelHeight + 20,
            "calls by second of the run, 0 to " +
                std::to_string(panel.seconds) + " s");
}

}  // namespace

std::string PlotReport(const LoadReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kWidth + 2 * kMargin << "\" height=\""
      << 2 * kPanelHeight + kGap + 2 * kMargin
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteText(out, kMargin, 25, report.scenario);
  WriteLatencyPanel(out, report);
  WriteEndsPanel(out, report);
  out << "</svg>\n";
  return out.str();
}

}  // namespace cumin::load
