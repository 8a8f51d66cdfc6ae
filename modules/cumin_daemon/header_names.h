#pragma once

#include <string>

namespace cumin {

/** Names of the header fields that callers and targets use. A platform adapter
    can replace the defaults. */
struct HeaderNames {
  /** Id of one attempt of a caller; echoed by targets. */
  std::string attempt = "Cumin-Attempt";
  /** Time in milliseconds that the sender will still wait. */
  std::string deadline_ms = "Cumin-Deadline-Ms";
  /** Id of the target process that a request is intended for. */
  std::string target_instance = "Cumin-Target-Instance";
  /** Service on the VM from which the request originates. */
  std::string caller_service = "Cumin-Caller-Service";
  /** Carries a customer's key, after the scheme. */
  std::string key = "Authorization";
  std::string key_scheme = "Bearer";
  /** Name of the customer whose key admitted the request, for the target. */
  std::string customer = "Cumin-Customer";
  /** Digest by which a target marks a complete response of its own. */
  std::string digest = "Cumin-Digest";
  /** Present when the target did not execute the request. */
  std::string not_executed = "Cumin-Not-Executed";
};

}  // namespace cumin
