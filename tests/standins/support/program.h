#pragma once

#include <csignal>
#include <string>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** Parses "address:port". Unlike ParseEndpoint, it accepts port 0, which asks
    for an ephemeral port. */
Result<Endpoint> ParseListenAddress(const std::string& text);

/** Blocks SIGTERM and SIGINT in the calling thread and the threads that it
    starts, so that main can wait for them. Must be constructed before the first
    thread is started. */
class TerminationSignals {
 public:
  TerminationSignals();

  /** Blocks until SIGTERM or SIGINT arrives. */
  void Wait() const;

 private:
  sigset_t signals_{};
};

}  // namespace cumin::test
