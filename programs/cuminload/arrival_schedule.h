#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** One call to send at a given time, regardless of the outcome of other calls
    (open-loop load). */
struct PlannedCall {
  /** Index into Scenario::calls. */
  std::size_t kind = 0;
  /** Offset from the start of the run; latency is measured from this time. */
  Duration send_at{0};
  /** Empty for idempotent calls. */
  IdempotencyKey key;
  /** Index into Scenario::entries of the first attempt's entry. */
  std::size_t entry = 0;

  friend bool operator==(const PlannedCall& a, const PlannedCall& b) {
    return a.kind == b.kind && a.send_at == b.send_at && a.key == b.key &&
           a.entry == b.entry;
  }
};

/** Plans all calls of a scenario before the first is sent, so that slow
    responses do not reduce the offered load.

    The calls of each kind arrive as a Poisson process at the kind's rate.

    @param scenario     the scenario to plan
    @param entry_count  number of entries, at least 1
    @param random       generates times, keys and entries
    @returns the calls in order of PlannedCall::send_at */
std::vector<PlannedCall> PlanArrivals(const Scenario& scenario,
                                      std::size_t entry_count, Random& random);

/** @returns a key in the form of a version 4 UUID */
IdempotencyKey MakeKey(Random& random);

}  // namespace cumin::load
