#pragma once

/** @file
    cumin_routing: routing decisions of the ingress daemon for each call.

    Covers target selection, retries and their budget, deadlines, the health of
    pooled connections and response validation. Contains decision logic only:
    no sockets, threads, sleeps, clocks or random sources of its own. Not
    thread-safe; the caller holds a lock around each object.

    Depends on: cumin_core, cumin_config, cumin_fleet.
*/

#include "cumin_routing/answer_check.h"
#include "cumin_routing/call_deadline.h"
#include "cumin_routing/connection_health.h"
#include "cumin_routing/region_load.h"
#include "cumin_routing/retry_budget.h"
#include "cumin_routing/retry_policy.h"
#include "cumin_routing/target_chooser.h"
#include "cumin_routing/target_health.h"
