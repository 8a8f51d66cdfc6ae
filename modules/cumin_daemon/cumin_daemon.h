#pragma once

/** @file
    cumin_daemon: the daemon beside one target VM, driven by events on one loop.

    `Ingress` serves the callers, `PeerClient` and `PeerHandler` carry calls
    between daemons, `TargetDispatcher` hands them to the target.
   `LinkScheduler` shares the VM's link among their answers. `FleetAgent`,
    `ConfigAgent` and `PeerDiscovery` keep members, routes and the store's
   entry. They share one `DaemonContext`; `MeshDaemon` starts and ends them.
    `MeshMetrics` counts what `EventLog` tells call by call.

    Depends on: cumin_http, cumin_store (the interface), cumin_fleet,
    cumin_config, cumin_routing, cumin_admission, cumin_core.
*/

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/mesh_daemon.h"
#include "cumin_daemon/mesh_settings.h"
