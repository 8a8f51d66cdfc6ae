#pragma once

/** @file
    cumin_rpc: HTTP and JSON-RPC by libraries, behind small typed interfaces.

    HTTP is cxxtools' client and server; JSON-RPC is libjsonrpccpp with its
    connectors on that HTTP. The files named json_rpc_*.cc are compiled as
    C++14, which libjsonrpccpp's headers need.

    Depends on: cumin_core, cxxtools, libjsonrpccpp.
*/

#include "cumin_http/http_message.h"
#include "cumin_rpc/http_client.h"
#include "cumin_rpc/http_client_pool.h"
#include "cumin_rpc/http_server.h"
#include "cumin_rpc/json_rpc_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"
