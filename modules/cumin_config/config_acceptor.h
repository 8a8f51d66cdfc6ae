#pragma once

#include "cumin_config/acceptance_outcome.h"
#include "cumin_config/change_request.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin {

/** Carries out an AcceptancePlan over a store, with exponential backoff and
    jitter between the attempts of one call. */
class ConfigAcceptor {
 public:
  /** Lets time pass between attempts. */
  class Waiter {
   public:
    virtual ~Waiter() = default;

    /** @param length  how long to block the caller */
    virtual void Wait(Duration length) = 0;
  };

  /** @param store   outlives this object
      @param waiter  outlives this object
      @param random  source of the jitter; outlives this object */
  ConfigAcceptor(Store& store, Waiter& waiter, Random& random);

  /** Tries to make the change the next version; blocks until its outcome
      stands or the attempts are used up. */
  AcceptanceOutcome Accept(ChangeRequest request);

 private:
  void WaitBefore(int attempt);

  Store& store_;
  Waiter& waiter_;
  Random& random_;
};

}  // namespace cumin
