#pragma once

/** @file
    cumin_fleet: which daemons there are, what targets they announce, and how
    configuration versions and membership changes travel between them.

    `MemberTable`, `GossipQueue` and `GossipExchange` hold and pass on
    membership; `FailureDetector` probes; `SpreadPlan`, `FetcherRotation` and
    `AntiEntropy` bring configuration versions to every daemon;
    `SplitForGather` collects what is in force.

    Decisions only: no socket, thread, sleep, clock or randomness of its own.

    Depends on: cumin_core, cumin_config.
*/

#include "cumin_fleet/anti_entropy.h"
#include "cumin_fleet/failure_detector.h"
#include "cumin_fleet/fetcher_rotation.h"
#include "cumin_fleet/gather_plan.h"
#include "cumin_fleet/gossip_exchange.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/gossip_pacer.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/member.h"
#include "cumin_fleet/member_table.h"
#include "cumin_fleet/probe_schedule.h"
#include "cumin_fleet/region_reachability.h"
#include "cumin_fleet/retry_backoff.h"
#include "cumin_fleet/spread_plan.h"
