#include "cuminload/path_comparison.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace cumin::load {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr double kMicrosPerMilli = 1000.0;
constexpr int kNameWidth = 16;
constexpr int kNumberWidth = 12;

double Millis(Duration length) {
  return static_cast<double>(length.count()) / kMicrosPerMilli;
}

}  // namespace

Duration LatencySample::Quantile(double fraction) const {
  if (latencies_.empty()) {
    return Duration(0);
  }
  std::vector<Duration> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto position = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(position, sorted.size() - 1)];
}

std::string ComparePaths(const std::vector<PathResult>& paths) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3) << std::left
      << std::setw(kNameWidth) << "path" << std::right;
  for (const char* it :
       {"calls", "failed", "p50 ms", "p99 ms", "added p50", "added p99"}) {
    out << std::setw(kNumberWidth) << it;
  }
  out << '\n';
  for (const PathResult& it : paths) {
    const LatencySample& base = paths.front().latencies;
    out << std::left << std::setw(kNameWidth) << it.name << std::right
        << std::setw(kNumberWidth) << it.latencies.count()
        << std::setw(kNumberWidth) << it.failed;
    for (const double quantile : {kMedian, kTail}) {
      out << std::setw(kNumberWidth) << Millis(it.latencies.Quantile(quantile));
    }
    for (const double quantile : {kMedian, kTail}) {
      out << std::setw(kNumberWidth)
          << Millis(it.latencies.Quantile(quantile) - base.Quantile(quantile));
    }
    out << '\n';
  }
  return out.str();
}

}  // namespace cumin::load
