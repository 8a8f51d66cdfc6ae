#include "cumin_core/metrics.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cumin {

namespace {

constexpr unsigned kBins = 320;
constexpr double kLowestUs = 1.0;
constexpr double kHighestUs = 1e8;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins_(boost::histogram::make_histogram(
          Axis(kBins, kLowestUs, kHighestUs))) {}

void LatencyHistogram::Observe(Duration latency) {
  const double us = std::clamp(static_cast<double>(latency.count()), kLowestUs,
                               std::nextafter(kHighestUs, 0.0));
  const std::lock_guard<std::mutex> lock(mutex_);
  bins_(us);
  ++count_;
}

Duration LatencyHistogram::Quantile(double fraction) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (count_ == 0) {
    return Duration(0);
  }
  const double rank =
      std::max(1.0, std::ceil(fraction * static_cast<double>(count_)));
  double cumulative_count = 0;
  for (const auto& it : boost::histogram::indexed(bins_)) {
    cumulative_count += static_cast<double>(*it);
    if (cumulative_count >= rank) {
      return Duration(static_cast<std::int64_t>(std::ceil(it.bin().upper())));
    }
  }
  return Duration(static_cast<std::int64_t>(kHighestUs));
}

std::uint64_t LatencyHistogram::count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return count_;
}

Counter& MetricRegistry::GetCounter(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<Counter>& slot = counters_[name];
  if (!slot) {
    slot = std::make_unique<Counter>();
  }
  return *slot;
}

LatencyHistogram& MetricRegistry::GetLatency(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<LatencyHistogram>& slot = latencies_[name];
  if (!slot) {
    slot = std::make_unique<LatencyHistogram>();
  }
  return *slot;
}

std::string MetricRegistry::Text() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream text;
  for (const auto& [name, counter] : counters_) {
    text << name << ' ' << counter->value() << '\n';
  }
  for (const auto& [name, latency] : latencies_) {
    text << name << "_count " << latency->count() << '\n';
    for (const double fraction : {0.5, 0.99, 1.0}) {
      text << name << "_us{quantile=\"" << fraction << "\"} "
           << latency->Quantile(fraction).count() << '\n';
    }
  }
  return text.str();
}

}  // namespace cumin
