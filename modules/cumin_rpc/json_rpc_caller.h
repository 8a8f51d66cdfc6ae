#pragma once

#include <json/json.h>

#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** HTTP path of the JSON-RPC endpoint of a daemon. */
constexpr char kRpcPath[] = "/-/rpc";

/** Sends JSON-RPC messages to a peer. */
class JsonRpcTransport {
 public:
  virtual ~JsonRpcTransport() = default;

  /** @param message  the request as JSON text
      @returns the response as JSON text */
  virtual Result<std::string> Send(const std::string& message) = 0;
};

/** Calls a method of a peer.
    @param method      method name, e.g. "fleet.ping"
    @param parameters  a JSON object
    @returns the method's result; kInvalid if the peer rejected the call,
             kProtocol if its response is not valid JSON-RPC, or the transport's
             error */
Result<Json::Value> CallJsonRpc(JsonRpcTransport& transport,
                                const std::string& method,
                                const Json::Value& parameters);

}  // namespace cumin
