#pragma once

#include <memory>

#include "cumin_daemon/config_agent.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/mesh_settings.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/http_listener.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** The daemon beside one target VM: its listeners, agents and their end.

    At SIGTERM readiness ends first. Until callers have noticed, calls are taken
    as before, for the target too, and each answer closes its connection. Then
    new work is refused, and what runs is answered before the process ends.
*/
class MeshDaemon {
 public:
  /** All arguments outlive this.
      @param announcements  answers the target on this VM */
  MeshDaemon(asio::io_context& loop, DaemonContext& board,
             TargetDispatcher& target, AsyncStore& store,
             const RouteSource& source, HttpRequestHandler& announcements);
  ~MeshDaemon();
  MeshDaemon(const MeshDaemon&) = delete;
  MeshDaemon& operator=(const MeshDaemon&) = delete;

  /** Binds the addresses and starts to serve.
      @returns kUnavailable with the address that is taken */
  Result<void> Start();

  /** Ends the daemon without cutting a call; the loop runs out of work when it
      has ended. */
  void BeginLeave();

  /** Announces the target's news to the fleet at once. */
  void OnAnnouncement();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin
