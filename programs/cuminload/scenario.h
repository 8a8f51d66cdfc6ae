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

/** One kind of call in a scenario, sent at random times at a mean rate. */
struct ScenarioCall {
  /** Names the kind in reports. */
  std::string name;
  CustomerId customer;
  std::string method;
  std::string path;
  Repeatability repeatability = Repeatability::kIdempotent;
  double rate_per_s = 1;
  Duration deadline{std::chrono::seconds(1)};
  std::size_t body_bytes = 0;
  /** How long an answer the target is asked for. */
  std::size_t answer_bytes = 0;

  friend bool operator==(const ScenarioCall& a, const ScenarioCall& b) {
    return a.name == b.name && a.customer == b.customer &&
           a.method == b.method && a.path == b.path &&
           a.repeatability == b.repeatability && a.rate_per_s == b.rate_per_s &&
           a.deadline == b.deadline && a.body_bytes == b.body_bytes &&
           a.answer_bytes == b.answer_bytes;
  }
};

/** A load to send and how to judge it. */
struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Duration length{std::chrono::seconds(10)};
  /** Calls that may wait for their answers at the same time. */
  int workers = 64;
  /** How often an at-most-once call is sent at most. */
  int attempts = 3;
  /** Between a failed attempt and the next. */
  Duration resend_pause{std::chrono::milliseconds(100)};
  /** The daemons that calls enter at. */
  std::vector<Endpoint> entries;
  /** The files in which the targets say what they ran. */
  std::vector<std::string> run_logs;
  std::vector<ScenarioCall> calls;
};

/** Parses and checks a scenario document.
    @param text    YAML
    @param source  the file to name in errors
    @returns the scenario, or kInvalid with line, field and allowed range */
Result<Scenario> ParseScenario(const std::string& text,
                               const std::string& source);

}  // namespace cumin::load
