#pragma once

/** @file
    cumin_store: client of the platform's key-value store.

    `Store` is the interface; `HttpStore` implements it over the HTTP API of
    Consul's KV store and sessions, which has compare-and-swap, leases and
    blocking reads.

    Depends on: cumin_core, cumin_rpc (HTTP client).
*/

#include "cumin_store/http_store.h"
#include "cumin_store/metered_store.h"
#include "cumin_store/store.h"
#include "cumin_store/store_backoff.h"
#include "cumin_store/store_call.h"
