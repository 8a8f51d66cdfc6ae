#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/fault_schedule.h"
#include "soak/soak_judge.h"

namespace cumin::test {

/** What came of a run. */
struct SoakReport {
  std::uint64_t seed = 0;
  std::vector<FaultEvent> faults;
  std::vector<BrokenPromise> broken;
  int calls = 0;
  int served = 0;

  /** @returns the faults and the broken promises, line by line */
  std::string Text() const;
};

/** Runs a mesh of real daemons with callers, targets and the store played here,
    strikes it with faults from outside and checks the promises all the while.
    @param plan    how much is to happen
    @param seed    draws the faults and the load
    @param folder  gets the settings and the logs of the daemons */
SoakReport RunSoak(const FaultPlan& plan, std::uint64_t seed,
                   const std::string& folder);

}  // namespace cumin::test
