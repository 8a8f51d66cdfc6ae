#include "cumin_daemon/mesh_metrics.h"

#include <iterator>
#include <sstream>

#include "cumin_admission/link_budget.h"

namespace cumin {

namespace {

/** Bucket bounds in seconds: from a call that is only forwarded to the longest
    time that a caller waits. */
constexpr double kBucketBoundsSeconds[] = {
    0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

double ToSeconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

std::string MetricLine(const std::string& name, const std::string& labels,
                       std::uint64_t value) {
  return name + "{" + labels + "} " + std::to_string(value) + "\n";
}

}  // namespace

const char* ToString(CallHop hop) {
  switch (hop) {
    case CallHop::kIngress:
      return "ingress";
    case CallHop::kQueue:
      return "queue";
    case CallHop::kTarget:
      return "target";
  }
  return "";
}

DurationHistogram::DurationHistogram()
    : bins_(std::make_tuple(boost::histogram::axis::variable<>(
          std::begin(kBucketBoundsSeconds), std::end(kBucketBoundsSeconds)))) {}

void DurationHistogram::Observe(Duration latency) {
  bins_(ToSeconds(latency));
  sum_ += latency;
}

std::string DurationHistogram::Text(const std::string& name,
                                    const std::string& labels) const {
  const auto& axis = bins_.axis(0);
  const std::string label_prefix = labels.empty() ? "" : labels + ",";
  std::string text;
  // The underflow bin counts in every bucket, since they are cumulative.
  std::uint64_t count = bins_.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    count += bins_.at(i);
    std::ostringstream edge;
    edge << axis.bin(i).upper();
    text += MetricLine(name + "_bucket",
                       label_prefix + "le=\"" + edge.str() + "\"", count);
  }
  count += bins_.at(axis.size());
  text += MetricLine(name + "_bucket", label_prefix + "le=\"+Inf\"", count);
  text +=
      name + "_sum{" + labels + "} " + std::to_string(ToSeconds(sum_)) + "\n";
  text += MetricLine(name + "_count", labels, count);
  return text;
}

void MeshMetrics::CountAnswer(int status) { answers_[status] += 1; }

void MeshMetrics::CountOutcome(CallHop hop, Verdict verdict,
                               RefusalReason reason) {
  outcomes_[OutcomeKey{hop, verdict, reason}] += 1;
}

void MeshMetrics::CountRetry(bool was_allowed) {
  retries_[was_allowed ? 1 : 0] += 1;
}

void MeshMetrics::CountTargetExchange(const char* end) {
  target_exchanges_[end] += 1;
}

void MeshMetrics::CountSuspectPush(const char* result) {
  suspect_pushes_[result] += 1;
}

void MeshMetrics::CountStoreCall(const char* kind, const char* result) {
  store_calls_[{kind, result}] += 1;
}

void MeshMetrics::CountPush(const char* result) { pushes_[result] += 1; }

void MeshMetrics::CountPeerAnswer(std::size_t n) {
  peer_answer_bytes_[n > LinkBudget::kLargeAnswerBytes ? 1 : 0] += n;
}

void MeshMetrics::CountCut(const char* from, const char* reason) {
  cuts_[{from, reason}] += 1;
}

void MeshMetrics::ObserveLoopLag(Duration lag) { loop_lag_.Observe(lag); }

void MeshMetrics::Observe(CallHop hop, const std::string& route,
                          Duration latency) {
  latencies_[{hop, route}].Observe(latency);
}

std::string MeshMetrics::Text() const {
  std::string text = MetricType("cumin_answers_total", "counter");
  for (const auto& [status, count] : answers_) {
    text += MetricLine("cumin_answers_total",
                       MetricLabel("status", std::to_string(status)), count);
  }
  text += MetricType("cumin_calls_total", "counter");
  for (const auto& [key, count] : outcomes_) {
    text += MetricLine("cumin_calls_total",
                       MetricLabel("hop", ToString(key.hop)) + "," +
                           MetricLabel("verdict", ToString(key.verdict)) + "," +
                           MetricLabel("reason", ToString(key.reason)),
                       count);
  }
  text += MetricType("cumin_retries_total", "counter");
  text += MetricLine("cumin_retries_total", MetricLabel("allowed", "no"),
                     retries_[0]);
  text += MetricLine("cumin_retries_total", MetricLabel("allowed", "yes"),
                     retries_[1]);
  text += MetricType("cumin_target_exchanges_total", "counter");
  for (const auto& [end, count] : target_exchanges_) {
    text += MetricLine("cumin_target_exchanges_total", MetricLabel("end", end),
                       count);
  }
  if (!keys_.empty()) {
    text += MetricType("cumin_keys_refused_total", "counter");
  }
  for (const auto& [verdict, count] : keys_) {
    text += MetricLine("cumin_keys_refused_total",
                       MetricLabel("verdict", verdict), count);
  }
  text += MetricType("cumin_inbound_grants_total", "counter");
  text += MetricLine("cumin_inbound_grants_total", MetricLabel("granted", "no"),
                     inbound_grants_[0]);
  text += MetricLine("cumin_inbound_grants_total",
                     MetricLabel("granted", "yes"), inbound_grants_[1]);
  text += MetricType("cumin_target_crashes_total", "counter");
  text +=
      "cumin_target_crashes_total " + std::to_string(target_crashes_) + "\n";
  text += MetricType("cumin_suspect_pushes_total", "counter");
  for (const auto& [result, count] : suspect_pushes_) {
    text += MetricLine("cumin_suspect_pushes_total",
                       MetricLabel("result", result), count);
  }
  text += MetricType("cumin_store_calls_total", "counter");
  for (const auto& [key, count] : store_calls_) {
    text += MetricLine("cumin_store_calls_total",
                       MetricLabel("kind", key.first) + "," +
                           MetricLabel("result", key.second),
                       count);
  }
  text += MetricType("cumin_config_pushes_total", "counter");
  for (const auto& [result, count] : pushes_) {
    text += MetricLine("cumin_config_pushes_total",
                       MetricLabel("result", result), count);
  }
  text += MetricType("cumin_peer_answer_bytes_total", "counter");
  text += MetricLine("cumin_peer_answer_bytes_total",
                     MetricLabel("size", "small"), peer_answer_bytes_[0]);
  text += MetricLine("cumin_peer_answer_bytes_total",
                     MetricLabel("size", "large"), peer_answer_bytes_[1]);
  text += MetricType("cumin_connections_cut_total", "counter");
  for (const auto& [key, count] : cuts_) {
    text += MetricLine("cumin_connections_cut_total",
                       MetricLabel("from", key.first) + "," +
                           MetricLabel("reason", key.second),
                       count);
  }
  text += MetricType("cumin_loop_lag_seconds", "histogram");
  text += loop_lag_.Text("cumin_loop_lag_seconds", "");
  text += MetricType("cumin_latency_seconds", "histogram");
  for (const auto& [key, bins] : latencies_) {
    text += bins.Text("cumin_latency_seconds",
                      MetricLabel("hop", ToString(key.first)) + "," +
                          MetricLabel("route", key.second));
  }
  return text;
}

std::string MetricType(const char* name, const char* type) {
  return std::string("# TYPE ") + name + " " + type + "\n";
}

std::string MetricLabel(const char* name, const std::string& value) {
  return std::string(name) + "=\"" + EscapeLabel(value) + "\"";
}

std::string EscapeLabel(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text;
}

}  // namespace cumin
