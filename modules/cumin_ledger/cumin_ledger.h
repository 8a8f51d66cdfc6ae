#pragma once

/** @file
    cumin_ledger: at-most-once execution of non-idempotent operations.

    The idempotency keys of a service are split into shards. Each shard has one
    owning daemon, which a record in the store names together with an epoch.
    Each daemon holds one lease that covers all of its shards. The owner keeps
    the keys in memory, so deciding about a call needs no access to the store.

    An owner that took over a shard without its keys can't tell which calls ran
    under the previous owner. Callers send the time of a call's first attempt,
    unchanged, with every resend; calls first sent after the previous owner's
    lease ended can't have run before.

    `OwnerLease` renews the daemon's lease, `ShardOwnership` acquires one shard,
    `KeyTable` holds keys and answers, and `ShardLedger` accepts or refuses each
    attempt of a call. These classes do no I/O: they return the store calls to
    make and take the results and the time as arguments. They are not
    thread-safe; callers must synchronize.

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
