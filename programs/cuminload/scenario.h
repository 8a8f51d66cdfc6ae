#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/mesh.h"
#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin::load {

/** One kind of call in a scenario, sent as a Poisson process at a mean rate. */
struct ScenarioCall {
  /** Name of the kind in reports. */
  std::string name;
  CustomerId customer;
  std::string method;
  std::string path;
  Repeatability repeatability = Repeatability::kIdempotent;
  double rate_per_s = 1;
  Duration deadline{std::chrono::seconds(1)};
  std::size_t body_bytes = 0;
  /** Response size requested from the target; 0 requests no specific size. */
  std::size_t answer_bytes = 0;

  friend bool operator==(const ScenarioCall& a, const ScenarioCall& b) {
    return a.name == b.name && a.customer == b.customer &&
           a.method == b.method && a.path == b.path &&
           a.repeatability == b.repeatability && a.rate_per_s == b.rate_per_s &&
           a.deadline == b.deadline && a.body_bytes == b.body_bytes &&
           a.answer_bytes == b.answer_bytes;
  }
};

/** A load to generate and the run logs to verify it against. */
struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Duration length{std::chrono::seconds(10)};
  /** Maximum number of calls in flight at the same time. */
  int workers = 64;
  /** Maximum number of attempts for an at-most-once call. */
  int attempts = 3;
  /** Pause between a failed attempt and the next. */
  Duration resend_pause{std::chrono::milliseconds(100)};
  /** Addresses of the ingress daemons that calls are sent to. */
  std::vector<Endpoint> entries;
  /** Paths of the targets' run logs. */
  std::vector<std::string> run_logs;
  std::vector<ScenarioCall> calls;
};

/** Parses and checks a scenario document.
    @param text    YAML
    @param source  file name for error messages
    @returns the scenario, or kInvalid with line, field and allowed range */
Result<Scenario> ParseScenario(const std::string& text,
                               const std::string& source);

}  // namespace cumin::load
