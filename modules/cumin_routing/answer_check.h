#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cumin_core/verdict.h"

namespace cumin {

/** What is known of an exchange with a peer when it has ended. */
struct Exchange {
  /** The id sent with the request. */
  std::string request_id;
  /** False when the connection failed before the request was written to it. */
  bool was_sent = false;
  /** False when no complete status line and headers arrived. */
  bool has_headers = false;
  /** The id that came back with the answer; empty when there was none. */
  std::string answered_id;
  /** The length that the answer declared; nothing when it declared none. */
  std::optional<std::size_t> declared_bytes;
  std::size_t received_bytes = 0;
  /** True when the body of an answer without a length came to its own end,
      such as a last chunk. */
  bool has_end_mark = false;
};

/** Checks that an answer is whole and belongs to its request.
    @param exchange  what is known
    @returns nothing when the answer may be delivered; else the refusal to give
    in its place, NotRun only when the request was never sent */
std::optional<Refusal> CheckAnswer(const Exchange& exchange);

}  // namespace cumin
