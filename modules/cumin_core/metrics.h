#pragma once

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "cumin_core/time.h"

namespace cumin {

/** A monotonically increasing, lock-free counter. */
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }

  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/** A latency histogram with logarithmic bins from 1 us to 100 s. */
class LatencyHistogram {
 public:
  LatencyHistogram();

  /** @param latency  one observation; values outside the range are counted in
      the first or last bin */
  void Observe(Duration latency);

  /** @param fraction  from 0 to 1, e.g. 0.99
      @returns the upper edge of the bin that holds this quantile; zero without
      observations */
  Duration Quantile(double fraction) const;

  /** @returns the number of observations */
  std::uint64_t count() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  mutable std::mutex mutex_;
  boost::histogram::histogram<std::tuple<Axis>> bins_;
  std::uint64_t count_ = 0;
};

/** The process's named counters and latency histograms.

    Look up a counter once and keep the reference; it stays valid for the
    lifetime of the registry.
*/
class MetricRegistry {
 public:
  /** @param name  lower case with underscores, ending in its unit or `_total`;
      the counter is created at the first use */
  Counter& GetCounter(const std::string& name);

  /** @param name  lower case with underscores; the histogram is created at the
      first use */
  LatencyHistogram& GetLatency(const std::string& name);

  /** @returns all counters and quantiles, one "name value" per line */
  std::string Text() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> latencies_;
};

}  // namespace cumin
