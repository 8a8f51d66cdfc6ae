#pragma once

#include <optional>

#include "cumin_core/verdict.h"

namespace cumin {

/** Has the last word on a call right before it is handed to a target. */
class DispatchGuard {
 public:
  virtual ~DispatchGuard() = default;

  /** @returns nothing when the call may be handed over now, else why not, as
      Verdict::kNotRun */
  virtual std::optional<Refusal> CheckDispatch() = 0;
};

}  // namespace cumin
