#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/outcome_verifier.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Number of calls by AttemptEnd. */
using EndCounts = std::array<std::size_t, kAttemptEndCount>;

/** Latency quantiles, measured from the planned send times. */
struct LatencySummary {
  Duration p50{0};
  Duration p99{0};
  Duration max{0};
};

/** Number of attempts that failed for a reason. */
struct ReasonCount {
  std::string reason;
  std::size_t count = 0;
};

/** One row of a report: all calls of one kind, of one second or of the run. */
struct CallSummary {
  std::string name;
  std::size_t calls = 0;
  std::size_t attempts = 0;
  EndCounts ends{};
  /** Of the calls that ran only. */
  LatencySummary latency;
  /** Reasons of all attempts without the verdict "ran", most frequent first. */
  std::vector<ReasonCount> reasons;
};

/** Complete report of a load run. */
struct LoadReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<CallSummary> kinds;
  /** One for each second of the run, by planned send time. */
  std::vector<CallSummary> seconds;
  CallSummary total;
  /** 99th percentile of CallOutcome::lateness. */
  Duration lateness_p99{0};
  VerificationResult verification;
};

/** Summarizes the outcomes of a run.
    @param scenario      the scenario that was run
    @param planned       the plan
    @param outcomes      one for each planned call
    @param verification  result of the comparison with the run logs */
LoadReport MakeReport(const Scenario& scenario,
                      const std::vector<PlannedCall>& planned,
                      const std::vector<CallOutcome>& outcomes,
                      const VerificationResult& verification);

/** @returns the report as text for a terminal */
std::string ToText(const LoadReport& report);

/** @returns the report as JSON on one line */
std::string ToJson(const LoadReport& report);

}  // namespace cumin::load
