#pragma once

/** @file
    cumin_store: the platform's key-value store as this system sees it.

    `Store` is the interface; `HttpStore` speaks the HTTP API of Consul's KV
    store and sessions, which has compare-and-swap, leases and blocking reads.

    Depends on: cumin_core, cumin_rpc (HTTP client).
*/

#include "cumin_store/http_store.h"
#include "cumin_store/metered_store.h"
#include "cumin_store/store.h"
#include "cumin_store/store_backoff.h"
#include "cumin_store/store_call.h"
