#include "cuminload/load_report.h"

#include <algorithm>
#include <map>

#include "cumin_core/metrics.h"

namespace cumin::load {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

/** Accumulates the calls of one report row. */
class SummaryBuilder {
 public:
  void Add(const CallOutcome& outcome) {
    const AttemptEnd end = outcome.End();
    ++summary_.calls;
    summary_.attempts += outcome.attempts.size();
    ++summary_.ends[static_cast<std::size_t>(end)];
    for (const AttemptOutcome& it : outcome.attempts) {
      if (it.end != AttemptEnd::kRan) {
        ++reasons_[std::string(ToString(it.end)) + ": " + it.reason];
      }
    }
    if (end == AttemptEnd::kRan) {
      latencies_.Observe(outcome.latency);
      summary_.latency.max = std::max(summary_.latency.max, outcome.latency);
    }
  }

  CallSummary Build(const std::string& name) {
    summary_.name = name;
    summary_.latency.p50 = latencies_.Quantile(kMedian);
    summary_.latency.p99 = latencies_.Quantile(kTail);
    for (const auto& it : reasons_) {
      summary_.reasons.push_back(ReasonCount{it.first, it.second});
    }
    std::stable_sort(summary_.reasons.begin(), summary_.reasons.end(),
                     [](const ReasonCount& a, const ReasonCount& b) {
                       return a.count > b.count;
                     });
    return summary_;
  }

 private:
  CallSummary summary_;
  LatencyHistogram latencies_;
  std::map<std::string, std::size_t> reasons_;
};

}  // namespace

LoadReport MakeReport(const Scenario& scenario,
                      const std::vector<PlannedCall>& planned,
                      const std::vector<CallOutcome>& outcomes,
                      const VerificationResult& verification) {
  const auto length =
      std::chrono::duration_cast<std::chrono::seconds>(scenario.length);
  std::vector<SummaryBuilder> kinds(scenario.calls.size());
  std::vector<SummaryBuilder> seconds(static_cast<std::size_t>(length.count()));
  SummaryBuilder total;
  LatencyHistogram lateness;
  for (const CallOutcome& it : outcomes) {
    const PlannedCall& call = planned[it.planned];
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(call.send_at);
    kinds[call.kind].Add(it);
    seconds[static_cast<std::size_t>(second.count())].Add(it);
    total.Add(it);
    lateness.Observe(it.lateness);
  }
  LoadReport report;
  report.scenario = scenario.name;
  report.seed = scenario.seed;
  report.verification = verification;
  report.lateness_p99 = lateness.Quantile(kTail);
  report.total = total.Build("total");
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    report.kinds.push_back(kinds[i].Build(scenario.calls[i].name));
  }
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    report.seconds.push_back(seconds[i].Build(std::to_string(i)));
  }
  return report;
}

}  // namespace cumin::load
