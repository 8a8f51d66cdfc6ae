#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cumin_core/verdict.h"

namespace cumin {

/** Outcome of one request/response exchange with a peer daemon. */
struct Exchange {
  /** Request id sent to the peer. */
  std::string request_id;
  /** False when the connection failed before the request was written. */
  bool was_sent = false;
  /** True when the complete status line and headers were received. */
  bool has_headers = false;
  /** Request id echoed in the response; empty when absent. */
  std::string response_request_id;
  /** Declared length of the response body in bytes, if any. */
  std::optional<std::size_t> declared_bytes;
  std::size_t received_bytes = 0;
  /** True when a body without a declared length was terminated explicitly,
      for example by the last chunk. */
  bool has_terminator = false;
};

/** Checks that a response is complete and belongs to its request.
    @returns nothing when the response may be delivered; otherwise the refusal
    to return instead. Its verdict is NotRun only when the request was never
    sent. */
std::optional<Refusal> CheckAnswer(const Exchange& exchange);

}  // namespace cumin
