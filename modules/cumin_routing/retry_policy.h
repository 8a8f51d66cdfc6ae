#pragma once

#include <string>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
#include "cumin_core/verdict.h"
#include "cumin_routing/call_deadline.h"
#include "cumin_routing/retry_budget.h"

namespace cumin {

/** Retries left for one call, across all the services that it passes through.

    Call chains are many levels deep. If each level retried independently, the
    attempts would multiply, so the number of retries left is forwarded with
    the call: the first attempt forwards it, and a retry forwards zero.
*/
class RetryAllowance {
 public:
  /** @param granted  retries that the contract grants the operation
      @param header   value of the Cumin-Retries-Left header, or empty when the
                      call comes from outside the mesh */
  RetryAllowance(int granted, const std::string& header);

  /** @returns the number of retries that this daemon may still make */
  int left() const { return left_; }

  /** @returns the header value for the next attempt */
  std::string NextHopHeader() const;

  /** Deducts one retry. */
  void OnRetry();

 private:
  int left_;
  bool is_retry_ = false;
};

/** What to do after an attempt that ended without a usable response. */
enum class RetryDecision {
  /** Return the refusal to the caller. */
  kGiveUp,
  /** Send the call to another target; uses up one retry. */
  kRetry,
  /** Send the call to another target without using up a retry: the first one
      did not run it because it is the wrong target. */
  kRedirect,
};

/** Decides whether one call is retried. */
class RetryPolicy {
 public:
  /** @param repeatability  whether the call may safely run twice
      @param allowance      from the contract and the call's header */
  RetryPolicy(Repeatability repeatability, RetryAllowance allowance)
      : repeatability_(repeatability), allowance_(allowance) {}

  /** Decides on the next step and, for kRetry, deducts from the allowance and
      the budget.
      @param refusal  outcome of the last attempt
      @param budget   retry budget of the called service */
  RetryDecision Decide(const Refusal& refusal, const CallDeadline& deadline,
                       RetryBudget& budget, MonoTime now);

  const RetryAllowance& allowance() const { return allowance_; }

 private:
  Repeatability repeatability_;
  RetryAllowance allowance_;
  int redirects_ = 0;
};

}  // namespace cumin
