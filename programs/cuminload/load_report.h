#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/run_judge.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** How often each end occurred, by AttemptEnd. */
using EndCounts = std::array<std::size_t, kAttemptEnds>;

/** Quantiles of latencies from the planned times. */
struct LatencySummary {
  Duration p50{0};
  Duration p99{0};
  Duration max{0};
};

/** How often a reason was given. */
struct ReasonCount {
  std::string reason;
  std::size_t count = 0;
};

/** One row of a report: all calls of a kind, or of one second. */
struct CallSummary {
  std::string name;
  std::size_t calls = 0;
  std::size_t attempts = 0;
  EndCounts ends{};
  /** Of the calls that ran. */
  LatencySummary latency;
  /** Of every attempt that did not run, the most frequent first. */
  std::vector<ReasonCount> reasons;
};

/** Everything that a run is reported by. */
struct LoadReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<CallSummary> kinds;
  /** One for each second of the run, by planned time. */
  std::vector<CallSummary> seconds;
  CallSummary total;
  /** The 99th percentile of how late calls were sent for want of a worker. */
  Duration lateness_p99{0};
  Judgement judgement;
};

/** Sums outcomes up.
    @param scenario   what was sent
    @param planned    the plan
    @param outcomes   one for each planned call
    @param judgement  what the run logs say */
LoadReport MakeReport(const Scenario& scenario,
                      const std::vector<PlannedCall>& planned,
                      const std::vector<CallOutcome>& outcomes,
                      const Judgement& judgement);

/** @returns the report as text for a terminal */
std::string ToText(const LoadReport& report);

/** @returns the report as JSON on one line */
std::string ToJson(const LoadReport& report);

}  // namespace cumin::load
