#pragma once

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** An operation that a contract permits, with its limits per call. */
struct Grant {
  ServiceId service;
  OperationId operation;
  /** Maximum duration of a call; the caller may request less. */
  Duration deadline{std::chrono::seconds(1)};
  /** Maximum number of retries of a failed call. */
  int retries = 1;
  std::int64_t max_body_bytes = 65536;

  friend bool operator==(const Grant& a, const Grant& b) {
    return a.service == b.service && a.operation == b.operation &&
           a.deadline == b.deadline && a.retries == b.retries &&
           a.max_body_bytes == b.max_body_bytes;
  }
};

/** Limits on one customer's traffic. */
struct Contract {
  CustomerId customer;
  /** Weight relative to other customers when a target is overloaded, from 1 to
      100. */
  int share = 10;
  /** Calls per second, fleet-wide. */
  double rate_per_s = 100;
  /** Number of calls that may exceed the rate at once. */
  int burst = 100;
  /** Maximum number of calls in progress at one target. */
  int concurrency = 16;
  /** Maximum number of calls waiting at one target. */
  int queue = 32;
  std::vector<Grant> grants;

  /** @returns the grant of the operation, or null */
  const Grant* FindGrant(const ServiceId& service,
                         const OperationId& operation) const;

  friend bool operator==(const Contract& a, const Contract& b) {
    return a.customer == b.customer && a.share == b.share &&
           a.rate_per_s == b.rate_per_s && a.burst == b.burst &&
           a.concurrency == b.concurrency && a.queue == b.queue &&
           a.grants == b.grants;
  }
};

/** Parses and validates a contract by itself, without resolving its references
    to services and operations.
    @param text    YAML
    @param source  file name or store key for error messages
    @returns the contract, or ErrorCode::kInvalid with line, field and valid
    range */
Result<Contract> ParseContract(const std::string& text,
                               const std::string& source);

}  // namespace cumin
