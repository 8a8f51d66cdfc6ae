#include <iomanip>
#include <sstream>

#include "cumin_core/json_text.h"
#include "cuminload/load_report.h"

namespace cumin::load {

namespace {

constexpr double kMicrosPerMilli = 1000.0;
constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 13;

double Millis(Duration length) {
  return static_cast<double>(length.count()) / kMicrosPerMilli;
}

void WriteHeader(std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "call" << std::right;
  for (const char* it : {"calls", "attempts"}) {
    out << std::setw(kNumberWidth) << it;
  }
  for (std::size_t i = 0; i < kAttemptEnds; ++i) {
    out << std::setw(kNumberWidth) << ToString(static_cast<AttemptEnd>(i));
  }
  for (const char* it : {"p50 ms", "p99 ms", "max ms"}) {
    out << std::setw(kNumberWidth) << it;
  }
  out << '\n';
}

void WriteRow(std::ostream& out, const CallSummary& row) {
  out << std::left << std::setw(kNameWidth) << row.name << std::right
      << std::setw(kNumberWidth) << row.calls << std::setw(kNumberWidth)
      << row.attempts;
  for (const std::size_t it : row.ends) {
    out << std::setw(kNumberWidth) << it;
  }
  for (const Duration it :
       {row.latency.p50, row.latency.p99, row.latency.max}) {
    out << std::setw(kNumberWidth) << Millis(it);
  }
  out << '\n';
}

void WriteJudgement(std::ostream& out, const Judgement& judgement) {
  out << "doubled " << judgement.doubled << ", lost " << judgement.lost
      << ", falsely not-run " << judgement.false_not_run << ", cut "
      << judgement.cut << ", no answer " << judgement.no_answer
      << ", mismatched " << judgement.mismatched << "; uncertain "
      << judgement.uncertain << " (of these started "
      << judgement.uncertain_started << "), unfinished runs "
      << judgement.unfinished_runs << '\n';
  if (!judgement.has_run_logs) {
    out << "no run logs: doubled, lost and falsely not-run were not judged\n";
  }
  for (const std::string& it : judgement.examples) {
    out << "  " << it << '\n';
  }
  out << (judgement.Passed() ? "verdict: passed" : "verdict: failed") << '\n';
}

Json::Value Number(std::size_t n) {
  return Json::Value(static_cast<Json::UInt64>(n));
}

Json::Value ToJsonValue(const CallSummary& row) {
  Json::Value out;
  out["name"] = row.name;
  out["calls"] = Number(row.calls);
  out["attempts"] = Number(row.attempts);
  for (std::size_t i = 0; i < kAttemptEnds; ++i) {
    out["ends"][ToString(static_cast<AttemptEnd>(i))] = Number(row.ends[i]);
  }
  out["p50_ms"] = Millis(row.latency.p50);
  out["p99_ms"] = Millis(row.latency.p99);
  out["max_ms"] = Millis(row.latency.max);
  for (const ReasonCount& it : row.reasons) {
    out["reasons"][it.reason] = Number(it.count);
  }
  return out;
}

Json::Value ToJsonValue(const Judgement& judgement) {
  Json::Value out;
  out["passed"] = judgement.Passed();
  out["has_run_logs"] = judgement.has_run_logs;
  out["doubled"] = Number(judgement.doubled);
  out["lost"] = Number(judgement.lost);
  out["false_not_run"] = Number(judgement.false_not_run);
  out["cut"] = Number(judgement.cut);
  out["no_answer"] = Number(judgement.no_answer);
  out["mismatched"] = Number(judgement.mismatched);
  out["uncertain"] = Number(judgement.uncertain);
  out["uncertain_started"] = Number(judgement.uncertain_started);
  out["unfinished_runs"] = Number(judgement.unfinished_runs);
  return out;
}

}  // namespace

std::string ToText(const LoadReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << "scenario " << report.scenario << ", seed " << report.seed << '\n';
  WriteHeader(out);
  for (const CallSummary& it : report.kinds) {
    WriteRow(out, it);
  }
  WriteRow(out, report.total);
  for (const ReasonCount& it : report.total.reasons) {
    out << "  " << it.count << " attempts " << it.reason << '\n';
  }
  out << "sent late for want of a worker, p99: " << Millis(report.lateness_p99)
      << " ms\n";
  WriteJudgement(out, report.judgement);
  return out.str();
}

std::string ToJson(const LoadReport& report) {
  Json::Value out;
  out["scenario"] = report.scenario;
  out["seed"] = static_cast<Json::UInt64>(report.seed);
  out["lateness_p99_ms"] = Millis(report.lateness_p99);
  out["total"] = ToJsonValue(report.total);
  out["judgement"] = ToJsonValue(report.judgement);
  for (const CallSummary& it : report.kinds) {
    out["kinds"].append(ToJsonValue(it));
  }
  for (const CallSummary& it : report.seconds) {
    out["seconds"].append(ToJsonValue(it));
  }
  return ToJsonText(out);
}

}  // namespace cumin::load
