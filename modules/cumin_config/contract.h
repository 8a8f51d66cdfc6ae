#pragma once

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** One operation that a contract allows, with its limits per call. */
struct Grant {
  ServiceId service;
  OperationId operation;
  /** The longest a call may take; a caller may ask for less. */
  Duration deadline{std::chrono::seconds(1)};
  /** How often a failed call may be tried again. */
  int retries = 1;
  std::int64_t max_body_bytes = 65536;

  friend bool operator==(const Grant& a, const Grant& b) {
    return a.service == b.service && a.operation == b.operation &&
           a.deadline == b.deadline && a.retries == b.retries &&
           a.max_body_bytes == b.max_body_bytes;
  }
};

/** Every limit of one customer's traffic. */
struct Contract {
  CustomerId customer;
  /** The customer's weight against others when a target is overloaded, from 1
      to 100. */
  int share = 10;
  /** Calls a second over the whole fleet. */
  double rate_per_s = 100;
  /** Calls that may come at once above the rate. */
  int burst = 100;
  /** Calls in execution at one target. */
  int concurrency = 16;
  /** Calls waiting at one target. */
  int queue = 32;
  std::vector<Grant> grants;

  /** @returns the grant of an operation, or null when there is none */
  const Grant* FindGrant(const ServiceId& service,
                         const OperationId& operation) const;

  friend bool operator==(const Contract& a, const Contract& b) {
    return a.customer == b.customer && a.share == b.share &&
           a.rate_per_s == b.rate_per_s && a.burst == b.burst &&
           a.concurrency == b.concurrency && a.queue == b.queue &&
           a.grants == b.grants;
  }
};

/** Parses and checks a contract on its own, without its references.
    @param text    YAML
    @param source  the file or store key to name in errors
    @returns the contract, or ErrorCode::kInvalid with line, field and range */
Result<Contract> ParseContract(const std::string& text,
                               const std::string& source);

}  // namespace cumin
