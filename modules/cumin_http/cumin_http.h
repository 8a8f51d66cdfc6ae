#pragma once

/** @file
    cumin_http: HTTP/1.1 on one event loop, for callers, peers, targets and the
    store alike.

    `HttpListener` serves, `HttpConnectionPool` calls; both are driven by
    coroutines on a single-threaded `asio::io_context`. Boost.Beast parses and
    writes the messages and stays inside the source files.

    Depends on: cumin_core, Boost.Asio, Boost.Beast, Boost.Intrusive.
*/

#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/http_message.h"
#include "cumin_http/response_pacer.h"
#include "cumin_http/socket_options.h"
#include "cumin_http/wake_up.h"
