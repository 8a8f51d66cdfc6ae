#pragma once

#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_proxy/daemon_settings.h"

namespace cumin {

/** One cuminproxy daemon: the front, the call paths and the controllers, ready
    to be embedded in a process.

    @code
    Daemon daemon(settings);
    Result<Endpoint> bound = daemon.Start();
    // ... until told to end ...
    daemon.Drain();
    @endcode
*/
class Daemon {
 public:
  /** @param settings  as checked by ParseDaemonSettings */
  explicit Daemon(const DaemonSettings& settings);

  /** Stops at once if Drain was not called. */
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Binds the listening address and starts every controller.
      @returns the bound address, or why it could not listen */
  Result<Endpoint> Start();

  /** Takes no new work, finishes the work there is within the settings' drain
      limit, and stops.
      @returns how many calls were cut by the limit */
  int Drain();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin
