#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/fault_schedule.h"
#include "soak/guarantee_checker.h"

namespace cumin::test {

struct SoakReport {
  std::uint64_t seed = 0;
  std::vector<FaultEvent> faults;
  std::vector<GuaranteeViolation> violations;
  int calls = 0;
  int served = 0;

  /** @returns a summary line, then a line for each fault and violation */
  std::string Text() const;
};

/** Runs a mesh of real daemon processes, with callers, targets and the store
    simulated in this process, injects faults and checks the guarantees
    throughout.
    @param seed    seeds the faults and the load
    @param folder  receives the settings and the logs of the daemons */
SoakReport RunSoak(const FaultPlan& plan, std::uint64_t seed,
                   const std::string& folder);

}  // namespace cumin::test
