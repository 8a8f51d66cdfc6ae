#pragma once

/** @file
    cumin_http: HTTP/1.1 server and client on one event loop, for the traffic
    with callers, peers, targets and the store.

    `HttpListener` is the server and `HttpConnectionPool` the client; both run
    coroutines on a single-threaded `asio::io_context`. Boost.Beast parses and
    writes the messages; its types do not appear in the headers.

    Depends on: cumin_core, Boost.Asio, Boost.Beast, Boost.Intrusive.
*/

#include "cumin_http/body_budget.h"
#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/http_message.h"
#include "cumin_http/response_pacer.h"
#include "cumin_http/socket_options.h"
#include "cumin_http/wake_up.h"
