#pragma once

/** @file
    cumin_daemon: the daemon that runs beside one target VM, on a single event
    loop.

    `Ingress` serves the callers, `PeerClient` and `PeerHandler` forward calls
    between daemons, and `TargetDispatcher` dispatches them to the target.
    `LinkScheduler` schedules large responses to peers on the VM's link.
    `FleetAgent`, `ConfigAgent` and `PeerDiscovery` maintain the member table,
    the routes and the registration in the store. `FreshnessAgent` dates the
    routes, `AllotmentAgent` adds up what customers use, `RolloutAgent` rolls
    out versions of the targets, and `InboundAgent` asks for room on the links
    of their VMs; they send notes through `FleetAgent`. All of them share one
    `DaemonContext`; `MeshDaemon` starts and stops them. `EventLog` records
    individual calls, `MeshMetrics` aggregates them.

    Depends on: cumin_http, cumin_store (the interface), cumin_fleet,
    cumin_config, cumin_routing, cumin_admission, cumin_core.
*/

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/mesh_daemon.h"
#include "cumin_daemon/mesh_settings.h"
