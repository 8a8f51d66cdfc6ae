#pragma once

#include <cstddef>

#include "cumin_http/asio.h"

namespace cumin {

/** Says when how much of an answer's body may be written. */
class ResponsePacer {
 public:
  virtual ~ResponsePacer() = default;

  /** Waits until more of the body may be written.
      @param left  bytes that are not written yet, at least 1
      @returns how many of them may be written now, or 0 to break the answer
      off */
  virtual Task<std::size_t> NextBytes(std::size_t left) = 0;
};

}  // namespace cumin
