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
  for (std::size_t i = 0; i < kAttemptEndCount; ++i) {
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

void WriteVerification(std::ostream& out,
                       const VerificationResult& verification) {
  out << "doubled " << verification.doubled << ", lost " << verification.lost
      << ", falsely not-run " << verification.false_not_run << ", cut "
      << verification.cut << ", no answer " << verification.no_answer
      << ", mismatched " << verification.mismatched << "; uncertain "
      << verification.uncertain << " (of these started "
      << verification.uncertain_started << "), unfinished runs "
      << verification.unfinished_runs << '\n';
  if (!verification.has_run_logs) {
    out << "no run logs: doubled, lost and falsely not-run were not checked\n";
  }
  for (const std::string& it : verification.examples) {
    out << "  " << it << '\n';
  }
  out << (verification.Passed() ? "verdict: passed" : "verdict: failed")
      << '\n';
}

Json::Value Number(std::size_t n) {
  return Json::Value(static_cast<Json::UInt64>(n));
}

Json::Value ToJsonValue(const CallSummary& row) {
  Json::Value out;
  out["name"] = row.name;
  out["calls"] = Number(row.calls);
  out["attempts"] = Number(row.attempts);
  for (std::size_t i = 0; i < kAttemptEndCount; ++i) {
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

Json::Value ToJsonValue(const VerificationResult& verification) {
  Json::Value out;
  out["passed"] = verification.Passed();
  out["has_run_logs"] = verification.has_run_logs;
  out["doubled"] = Number(verification.doubled);
  out["lost"] = Number(verification.lost);
  out["false_not_run"] = Number(verification.false_not_run);
  out["cut"] = Number(verification.cut);
  out["no_answer"] = Number(verification.no_answer);
  out["mismatched"] = Number(verification.mismatched);
  out["uncertain"] = Number(verification.uncertain);
  out["uncertain_started"] = Number(verification.uncertain_started);
  out["unfinished_runs"] = Number(verification.unfinished_runs);
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
  out << "send delay for lack of a free worker, p99: "
      << Millis(report.lateness_p99) << " ms\n";
  WriteVerification(out, report.verification);
  return out.str();
}

std::string ToJson(const LoadReport& report) {
  Json::Value out;
  out["scenario"] = report.scenario;
  out["seed"] = static_cast<Json::UInt64>(report.seed);
  out["lateness_p99_ms"] = Millis(report.lateness_p99);
  out["total"] = ToJsonValue(report.total);
  out["judgement"] = ToJsonValue(report.verification);
  for (const CallSummary& it : report.kinds) {
    out["kinds"].append(ToJsonValue(it));
  }
  for (const CallSummary& it : report.seconds) {
    out["seconds"].append(ToJsonValue(it));
  }
  return ToJsonText(out);
}

}  // namespace cumin::load
