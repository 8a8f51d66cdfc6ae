#pragma once

#include <csignal>
#include <string>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** Parses "address:port"; unlike ParseEndpoint it takes port 0, which stands
    for any free port. */
Result<Endpoint> ParseListenAddress(const std::string& text);

/** Holds back SIGTERM and SIGINT in this thread and those it starts, so that
    main can wait for them. Make it before the first thread. */
class EndSignals {
 public:
  EndSignals();

  /** Waits until the process is told to end. */
  void Wait() const;

 private:
  sigset_t signals_{};
};

}  // namespace cumin::test
