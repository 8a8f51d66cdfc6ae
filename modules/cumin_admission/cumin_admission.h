#pragma once

/** @file
    cumin_admission: admission control for the target beside the daemon.

    Covers the target's slots and queue, per-customer limits, draining, slow
    start and the isolation of requests that crash targets. The classes only
    make decisions: they use no socket, thread, sleep, clock or randomness of
    their own. They are not thread-safe; the caller serializes access to each
    object.

    Depends on: cumin_core, cumin_config, Boost.Intrusive.
*/

#include "cumin_admission/admission_queue.h"
#include "cumin_admission/demand_aggregator.h"
#include "cumin_admission/drain_state.h"
#include "cumin_admission/link_budget.h"
#include "cumin_admission/pending_call.h"
#include "cumin_admission/rate_limiter.h"
#include "cumin_admission/rate_share.h"
#include "cumin_admission/service_time.h"
#include "cumin_admission/slow_start.h"
#include "cumin_admission/suspect_codec.h"
#include "cumin_admission/suspect_table.h"
#include "cumin_admission/target_runs.h"
#include "cumin_admission/token_bucket.h"
