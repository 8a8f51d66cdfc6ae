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

/** Stage of a call for which latency and outcome are recorded. */
enum class CallHop {
  /** On the caller's daemon, from the complete request to the response. */
  kIngress,
  /** In the dispatch queue of the target's daemon. */
  kQueue,
  /** From dispatch to the target until its complete response. */
  kTarget,
};

/** @returns "ingress", "queue" or "target" */
const char* ToString(CallHop hop);

/** Latency histogram. Bucket bounds are the same on every daemon, so that the
    histograms of a fleet can be summed. */
class DurationHistogram {
 public:
  DurationHistogram();

  void Observe(Duration latency);

  /** @param name    name of the metric
      @param labels  text inside the braces, without a trailing comma; may be
                     empty
      @returns the `_bucket`, `_sum` and `_count` lines of the exposition
      format; the sum is in seconds */
  std::string Text(const std::string& name, const std::string& labels) const;

 private:
  using Bins = boost::histogram::histogram<
      std::tuple<boost::histogram::axis::variable<>>,
      boost::histogram::dense_storage<std::uint64_t>>;

  Bins bins_;
  Duration sum_{0};
};

/** Counters and latencies of one daemon, for its metrics page. Not thread-safe;
    used on one event loop. */
class MeshMetrics {
 public:
  /** Counts a response to a caller on this VM. */
  void CountAnswer(int status);

  /** Counts the outcome of a call at a hop.
      @param reason  kNone for a call that ran */
  void CountOutcome(CallHop hop, Verdict verdict, RefusalReason reason);

  /** Counts a retry that a call asked for.
      @param was_allowed  false when the retry budget was exhausted */
  void CountRetry(bool was_allowed);

  /** Counts an exchange with the target.
      @param end  as in the log, e.g. "broken" */
  void CountTargetExchange(const char* end);

  /** Counts a request that was refused for its key.
      @param verdict  "rejected" or "undated" */
  void CountKey(const char* verdict) { keys_[verdict] += 1; }

  /** Counts a question for room on the link of a target's VM. */
  void CountInboundGrant(bool was_granted) {
    inbound_grants_[was_granted ? 1 : 0] += 1;
  }

  /** Counts a crash of the target. */
  void CountTargetCrash() { target_crashes_ += 1; }

  /** Counts suspect records sent to a peer.
      @param result  "taken" or "failed" */
  void CountSuspectPush(const char* result);

  /** Counts a call to the store.
      @param kind    operation, lower case
      @param result  its error's name, or "ok" */
  void CountStoreCall(const char* kind, const char* result);

  /** Counts a version pushed to a peer.
      @param result  "taken" or "failed" */
  void CountPush(const char* result);

  /** Counts the body bytes of a response to another daemon, as small or large.
      @param n  size in bytes */
  void CountPeerAnswer(std::size_t n);

  /** Counts a connection that ended without a complete response to a request.
      @param from    "callers" or "peers"
      @param reason  as in the log */
  void CountCut(const char* from, const char* reason);

  /** Records how late a timer of the event loop fired. */
  void ObserveLoopLag(Duration lag);

  /** Records the time that a call spent at a hop. */
  void Observe(CallHop hop, const std::string& route, Duration latency);

  /** @returns all metrics in the text exposition format */
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
  std::map<std::string, std::uint64_t> target_exchanges_;
  std::map<std::string, std::uint64_t> keys_;
  std::array<std::uint64_t, 2> inbound_grants_{};
  std::uint64_t target_crashes_ = 0;
  std::map<std::string, std::uint64_t> suspect_pushes_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> store_calls_;
  std::map<std::string, std::uint64_t> pushes_;
  std::array<std::uint64_t, 2> peer_answer_bytes_{};
  std::map<std::pair<std::string, std::string>, std::uint64_t> cuts_;
  DurationHistogram loop_lag_;
  std::map<std::pair<CallHop, std::string>, DurationHistogram> latencies_;
};

/** @param type  "counter", "gauge" or "histogram"
    @returns the TYPE line of a metric */
std::string MetricType(const char* name, const char* type);

/** @returns name="value", with the value escaped */
std::string MetricLabel(const char* name, const std::string& value);

/** @returns the text as a label value, with quotes, backslashes and line breaks
    escaped */
std::string EscapeLabel(const std::string& value);

}  // namespace cumin
