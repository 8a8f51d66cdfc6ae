#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** One call that is to be sent at a given time, whatever became of the others.
 */
struct PlannedCall {
  /** Position in the scenario's list of calls. */
  std::size_t kind = 0;
  /** Since the start of the run; latency counts from here. */
  Duration send_at{0};
  /** Empty for idempotent calls. */
  IdempotencyKey key;
  /** Position of the first attempt's entry in the scenario's list. */
  std::size_t entry = 0;

  friend bool operator==(const PlannedCall& a, const PlannedCall& b) {
    return a.kind == b.kind && a.send_at == b.send_at && a.key == b.key &&
           a.entry == b.entry;
  }
};

/** Plans every call of a scenario before the first is sent, so the load does
    not slow down with the answers.

    The calls of each kind arrive as a Poisson process at the kind's rate.

    @param scenario     what to send
    @param entry_count  at least 1
    @param random       draws times, keys and entries
    @returns the calls in the order of their times */
std::vector<PlannedCall> PlanArrivals(const Scenario& scenario,
                                      std::size_t entry_count, Random& random);

/** @returns a key in the form of a version 4 UUID */
IdempotencyKey MakeKey(Random& random);

}  // namespace cumin::load
