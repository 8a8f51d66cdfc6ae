#pragma once

/** @file
    cumin_ledger: at-most-once execution of non-idempotent operations.

    The idempotency keys of a service are split into shards. Each shard has one
    owning daemon, named with an epoch in a record of the store, and each daemon
    holds one lease that covers all of its shards. The owner remembers keys in
    memory, so a call costs no store call. An owner that loses its memory can't
    tell which keys ran before; the time of a call's first attempt, which the
    caller repeats on each resend, tells calls that can't have run before from
    those that may have.

    `OwnerLease` keeps the daemon's lease, `ShardOwnership` acquires one shard,
    `KeyTable` remembers keys and answers, and `ShardLedger` decides about each
    attempt of a call. All are decisions only: they return the store calls to
    make and take their results and the time as arguments. None locks; callers
    do.

    Depends on: cumin_core, cumin_store (value types only).
*/

#include "cumin_ledger/key_export.h"
#include "cumin_ledger/key_table.h"
#include "cumin_ledger/ledger_types.h"
#include "cumin_ledger/owner_lease.h"
#include "cumin_ledger/shard_ledger.h"
#include "cumin_ledger/shard_map.h"
#include "cumin_ledger/shard_ownership.h"
#include "cumin_ledger/shard_record.h"
