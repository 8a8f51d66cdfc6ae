#pragma once

#include <string>

namespace cumin {

/** The names of the header fields that callers and targets use. The defaults
    are the product's own; an adapter replaces them. */
struct HeaderNames {
  /** Identifies one attempt of a caller; echoed by targets. */
  std::string attempt = "Cumin-Attempt";
  /** Milliseconds that the sender will wait. */
  std::string deadline_ms = "Cumin-Deadline-Ms";
  /** The target process that a request is meant for. */
  std::string target_instance = "Cumin-Target-Instance";
  /** The service on the VM where the request began. */
  std::string caller_service = "Cumin-Caller-Service";
  /** Proves that an answer comes whole from a target. */
  std::string digest = "Cumin-Digest";
  /** Present when the target states that it did not run the request. */
  std::string not_executed = "Cumin-Not-Executed";
};

}  // namespace cumin
