#pragma once

#include <cstddef>

#include "cumin_http/asio.h"

namespace cumin {

/** Controls when, and in which portions, a response body is written. */
class ResponsePacer {
 public:
  virtual ~ResponsePacer() = default;

  /** Waits until more of the body may be written.
      @param remaining  bytes that are not written yet, at least 1
      @returns the number of bytes that may be written now, or 0 to abort the
      response */
  virtual Task<std::size_t> NextBytes(std::size_t remaining) = 0;
};

}  // namespace cumin
