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

/** The daemon beside one target VM: owns its listeners and agents, and shuts
    them down gracefully.

    On SIGTERM the readiness check fails first. Until callers have noticed,
    calls are accepted as before, also for the target, and each response closes
    its connection. Then new calls are refused, and calls in progress are
    answered before the process exits.
*/
class MeshDaemon {
 public:
  /** All arguments outlive this.
      @param announcements  handles announcements of the target on this VM */
  MeshDaemon(asio::io_context& loop, DaemonContext& context,
             TargetDispatcher& target, AsyncStore& store,
             const RouteSource& source, HttpRequestHandler& announcements);
  ~MeshDaemon();
  MeshDaemon(const MeshDaemon&) = delete;
  MeshDaemon& operator=(const MeshDaemon&) = delete;

  /** Binds the listeners and starts serving.
      @returns kUnavailable with the address that cannot be bound */
  Result<void> Start();

  /** Starts a graceful shutdown; stops the event loop when it is complete or
      just before the grace period ends. */
  void BeginShutdown();

  /** Applies the target's latest announcement and updates the member table at
      once. */
  void OnAnnouncement();

  /** As OnAnnouncement, for a target that leaves. Completes when a peer has
      recorded the withdrawal, or after half a second; it may be acknowledged
      then. */
  Task<void> OnWithdrawal();

 private:
  class Impl;
  std::unique_ptr<Impl> implementation_;
};

}  // namespace cumin
