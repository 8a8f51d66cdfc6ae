#pragma once

/** @file
    cumin_fleet: cluster membership, announced targets, and the distribution of
    membership changes and configuration versions between daemons.

    `MemberTable`, `GossipQueue` and `GossipExchange` store and disseminate
    membership; `FailureDetector` probes members; `SpreadPlan`,
    `FetcherRotation` and `AntiEntropy` distribute configuration versions to
    every daemon; `SplitForGather` plans the collection of the versions in
    force.

    Contains decision logic only: no sockets, threads, sleeps, clocks or random
    sources of its own.

    Depends on: cumin_core, cumin_config.
*/

#include "cumin_fleet/anti_entropy.h"
#include "cumin_fleet/contact_list.h"
#include "cumin_fleet/failure_detector.h"
#include "cumin_fleet/fetcher_rotation.h"
#include "cumin_fleet/gather_plan.h"
#include "cumin_fleet/gossip_exchange.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/gossip_pacer.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/gossip_targets.h"
#include "cumin_fleet/member.h"
#include "cumin_fleet/member_table.h"
#include "cumin_fleet/probe_schedule.h"
#include "cumin_fleet/region_reachability.h"
#include "cumin_fleet/retry_backoff.h"
#include "cumin_fleet/spread_plan.h"
