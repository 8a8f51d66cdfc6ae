#pragma once

#include <json/json.h>

#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** The path at which a daemon answers JSON-RPC messages. */
constexpr char kRpcPath[] = "/-/rpc";

/** Carries one JSON-RPC message to a peer and brings back its answer. */
class JsonRpcTransport {
 public:
  virtual ~JsonRpcTransport() = default;

  /** @param message  the request as JSON text
      @returns the answer as JSON text */
  virtual Result<std::string> Send(const std::string& message) = 0;
};

/** Calls a method of a peer through libjsonrpccpp.
    @param transport   how to reach the peer
    @param method      the method's name, e.g. "fleet.ping"
    @param parameters  a JSON object
    @returns the method's result; kInvalid when the peer refused the call,
             kProtocol when its answer is not JSON-RPC, or the transport's
             error */
Result<Json::Value> CallJsonRpc(JsonRpcTransport& transport,
                                const std::string& method,
                                const Json::Value& parameters);

}  // namespace cumin
