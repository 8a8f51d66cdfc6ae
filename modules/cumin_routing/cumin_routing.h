#pragma once

/** @file
    cumin_routing: what the daemon where a call arrives decides about it.

    The target's choice, retries and their budget, deadlines, the health of
    kept connections and whether an answer is whole. Decisions only: no socket,
    thread, sleep, clock or randomness of its own; not thread-safe, the caller
    holds one lock around each object.

    Depends on: cumin_core, cumin_config, cumin_fleet.
*/

#include "cumin_routing/answer_check.h"
#include "cumin_routing/call_deadline.h"
#include "cumin_routing/connection_health.h"
#include "cumin_routing/retry_budget.h"
#include "cumin_routing/retry_policy.h"
#include "cumin_routing/target_chooser.h"
#include "cumin_routing/target_health.h"
