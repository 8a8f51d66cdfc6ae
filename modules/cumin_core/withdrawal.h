#pragma once

#include <cstdint>

#include "cumin_core/time.h"

namespace cumin {

/** The last process of a target that announced its departure. Reports that it
    sent earlier may still arrive and must not make it ready again. */
struct Withdrawal {
  /** StableHash of the process's name. */
  std::uint64_t instance = 0;
  /** Processes of this name that started later have not left; by the wall clock
      of their VM. */
  WallTime started_through;

  friend bool operator==(const Withdrawal& a, const Withdrawal& b) {
    return a.instance == b.instance && a.started_through == b.started_through;
  }

  /** Orders the withdrawals of one VM; the greatest is the last one. */
  friend bool operator<(const Withdrawal& a, const Withdrawal& b) {
    return a.started_through != b.started_through
               ? a.started_through < b.started_through
               : a.instance < b.instance;
  }
};

}  // namespace cumin
