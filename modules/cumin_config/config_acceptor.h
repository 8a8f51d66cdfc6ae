#pragma once

#include "cumin_config/acceptance_outcome.h"
#include "cumin_config/change_request.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin {

/** Executes an AcceptancePlan against a store, with exponential backoff and
    jitter between attempts at the same call. */
class ConfigAcceptor {
 public:
  /** Blocks between attempts; tests replace it. */
  class Waiter {
   public:
    virtual ~Waiter() = default;

    /** @param length  time to block the caller */
    virtual void Wait(Duration length) = 0;
  };

  /** @param store   outlives this object
      @param waiter  outlives this object
      @param random  source of the jitter; outlives this object */
  ConfigAcceptor(Store& store, Waiter& waiter, Random& random);

  /** Tries to store the change as the next version. Blocks until the outcome
      is final or the attempts are exhausted. */
  AcceptanceOutcome Accept(ChangeRequest request);

 private:
  void BackOffBefore(int attempt);

  Store& store_;
  Waiter& waiter_;
  Random& random_;
};

}  // namespace cumin
