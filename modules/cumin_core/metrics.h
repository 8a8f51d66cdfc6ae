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

/** A number that only grows; adding takes no lock. */
class Counter {
 public:
  /** @param amount  how much to add */
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }

  /** @returns the sum so far */
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/** A distribution of latencies, in logarithmic bins from 1 us to 100 s. */
class LatencyHistogram {
 public:
  LatencyHistogram();

  /** @param latency  one observation; outside the range it counts in the first
     or last bin */
  void Observe(Duration latency);

  /** @param fraction  from 0 to 1, e.g. 0.99
      @returns the upper edge of the bin that holds this quantile; zero when
      nothing was observed */
  Duration Quantile(double fraction) const;

  /** @returns how many observations there were */
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

    Look a counter up once and keep the reference; it lives as long as the
    registry.
*/
class MetricRegistry {
 public:
  /** @param name  lower case with underscores, ending in its unit or `_total`;
      made at the first use */
  Counter& GetCounter(const std::string& name);

  /** @param name  lower case with underscores; made at the first use */
  LatencyHistogram& GetLatency(const std::string& name);

  /** @returns every counter and quantile, one "name value" a line */
  std::string Text() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> latencies_;
};

}  // namespace cumin
