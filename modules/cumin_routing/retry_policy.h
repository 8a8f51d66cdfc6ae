#pragma once

#include <string>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
#include "cumin_core/verdict.h"
#include "cumin_routing/call_deadline.h"
#include "cumin_routing/retry_budget.h"

namespace cumin {

/** How often one call may still be tried, across all the services that work
    for it.

    Calls go many deep. If each depth retried by itself, tries would multiply,
    so what is left travels with the call: the first try passes it on, and a
    retry passes on none.
*/
class RetryAllowance {
 public:
  /** @param granted  the contract's retries for the operation
      @param header   value of the Cumin-Retries-Left header, or empty when the
                      call comes from outside the mesh */
  RetryAllowance(int granted, const std::string& header);

  /** @returns how many more retries there may be here */
  int left() const { return left_; }

  /** @returns the header for the try that is about to be sent */
  std::string NextHopHeader() const;

  /** Counts one retry. */
  void OnRetry();

 private:
  int left_;
  bool is_retry_ = false;
};

/** What to do after a try that brought no answer. */
enum class RetryDecision {
  /** Tell the caller. */
  kGiveUp,
  /** Send the call to another target, at the expense of the allowance. */
  kRetry,
  /** Send it to another target at no expense: this one only said that it is
      the wrong one. */
  kRedirect,
};

/** Decides on retries of one call. */
class RetryPolicy {
 public:
  /** @param repeatability  whether running it twice does harm
      @param allowance      from the contract and the call's header */
  RetryPolicy(Repeatability repeatability, RetryAllowance allowance)
      : repeatability_(repeatability), allowance_(allowance) {}

  /** Decides and, for kRetry, takes from allowance and budget.
      @param refusal   how the try ended
      @param deadline  the call's deadline
      @param budget    the service's budget
      @param now       the time */
  RetryDecision Decide(const Refusal& refusal, const CallDeadline& deadline,
                       RetryBudget& budget, MonoTime now);

  const RetryAllowance& allowance() const { return allowance_; }

 private:
  Repeatability repeatability_;
  RetryAllowance allowance_;
  int redirects_ = 0;
};

}  // namespace cumin
