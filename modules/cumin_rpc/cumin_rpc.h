#pragma once

/** @file
    cumin_rpc: blocking HTTP client and server on cxxtools, JSON-RPC client and
    dispatcher on libjsonrpccpp.

    JSON-RPC is independent of the HTTP classes: messages travel through a
    JsonRpcTransport. The files named json_rpc_*.cc are compiled as C++14
    because libjsonrpccpp's headers do not compile as C++17.

    Depends on: cumin_core, cumin_http, cxxtools, libjsonrpccpp.
*/

#include "cumin_http/http_message.h"
#include "cumin_rpc/http_client.h"
#include "cumin_rpc/http_client_pool.h"
#include "cumin_rpc/http_server.h"
#include "cumin_rpc/json_rpc_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"
