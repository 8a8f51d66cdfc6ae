#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** Where on its way a call's time was spent. */
enum class CallHop {
  /** From the whole request at the daemon beside the caller to its answer. */
  kIngress,
  /** In the queue of the daemon beside the target. */
  kQueue,
  /** From the dispatch to the target until its whole answer. */
  kTarget,
};

/** @returns "ingress", "queue" or "target" */
const char* ToString(CallHop hop);

/** Latencies in bins whose edges are the same on every daemon, so that those of
    a fleet can be summed. */
class DurationHistogram {
 public:
  DurationHistogram();

  /** Counts one call. */
  void Observe(Duration latency);

  /** @param name    of the metric
      @param labels  inside the braces, without a comma at the end; may be empty
      @returns the lines `_bucket`, `_sum` and `_count` of the exposition
      format; the sum is in seconds */
  std::string Text(const std::string& name, const std::string& labels) const;

 private:
  using Bins = boost::histogram::histogram<
      std::tuple<boost::histogram::axis::variable<>>,
      boost::histogram::dense_storage<std::uint64_t>>;

  Bins bins_;
  Duration sum_{0};
};

/** Counters and latencies of one daemon, for its metrics page. Used on one
   event loop. */
class MeshMetrics {
 public:
  /** Counts an answer to a caller on this VM. */
  void CountAnswer(int status);

  /** Counts how a call ended at a hop.
      @param reason  kNone for a call that ran */
  void CountOutcome(CallHop hop, Verdict verdict, RefusalReason reason);

  /** Counts another try of a call.
      @param was_allowed  false when the retry budget was used up */
  void CountRetry(bool was_allowed);

  /** Counts a call to the store.
      @param kind    of the call, lower case
      @param result  its error's name, or "ok" */
  void CountStoreCall(const char* kind, const char* result);

  /** Counts a version handed to a peer.
      @param result  "taken" or "failed" */
  void CountPush(const char* result);

  /** Counts the body of an answer to another daemon, by whether it is large.
      @param n  bytes */
  void CountPeerAnswer(std::size_t n);

  /** Counts a connection that ended without the whole answer to a request.
      @param from    "callers" or "peers"
      @param reason  as in the log */
  void CountCut(const char* from, const char* reason);

  /** Notes how late the event loop came to a timer. */
  void ObserveLoopLag(Duration lag);

  /** Notes the time that a call spent at a hop. */
  void Observe(CallHop hop, const std::string& route, Duration latency);

  /** @returns everything in the text exposition format */
  std::string Text() const;

 private:
  struct OutcomeKey {
    CallHop hop;
    Verdict verdict;
    RefusalReason reason;

    friend bool operator<(const OutcomeKey& a, const OutcomeKey& b) {
      return std::tie(a.hop, a.verdict, a.reason) <
             std::tie(b.hop, b.verdict, b.reason);
    }
  };

  std::map<int, std::uint64_t> answers_;
  std::map<OutcomeKey, std::uint64_t> outcomes_;
  std::array<std::uint64_t, 2> retries_{};
  std::map<std::pair<std::string, std::string>, std::uint64_t> store_calls_;
  std::map<std::string, std::uint64_t> pushes_;
  std::array<std::uint64_t, 2> peer_answer_bytes_{};
  std::map<std::pair<std::string, std::string>, std::uint64_t> cuts_;
  DurationHistogram loop_lag_;
  std::map<std::pair<CallHop, std::string>, DurationHistogram> latencies_;
};

/** @param type  "counter", "gauge" or "histogram"
    @returns the line that states a metric's type */
std::string MetricType(const char* name, const char* type);

/** @returns name="value", with the value escaped */
std::string MetricLabel(const char* name, const std::string& value);

/** @param value  anything
    @returns it as a label's value, with quotes, backslashes and line ends
    escaped */
std::string EscapeLabel(const std::string& value);

}  // namespace cumin
