#include "cumin_rpc/json_rpc_caller.h"

#include <jsonrpccpp/client.h>

namespace cumin {

namespace {

/** Adapts a JsonRpcTransport to libjsonrpccpp's connector interface. Stores the
    transport's Error, which a JsonRpcException cannot carry. */
class TransportConnector final : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(JsonRpcTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result)  // NOLINT: library signature
      throw(jsonrpc::JsonRpcException) override {
    Result<std::string> response = transport_.Send(message);
    if (!response) {
      failed_ = true;
      error_ = response.error();
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      error_.reason);
    }
    result = response.value();
  }

  bool failed() const { return failed_; }
  const Error& error() const { return error_; }

 private:
  JsonRpcTransport& transport_;
  bool failed_ = false;
  Error error_;
};

ErrorCode ToErrorCode(int code) {
  const bool malformed = code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
                         code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
  return malformed ? ErrorCode::kProtocol : ErrorCode::kInvalid;
}

}  // namespace

Result<Json::Value> CallJsonRpc(JsonRpcTransport& transport,
                                const std::string& method,
                                const Json::Value& parameters) {
  TransportConnector connector(transport);
  jsonrpc::Client client(connector);
  try {
    return client.CallMethod(method, parameters);
  } catch (const jsonrpc::JsonRpcException& e) {
    if (connector.failed()) {
      return connector.error();
    }
    return Error{ToErrorCode(e.GetCode()), "", 0, method, e.GetMessage()};
  } catch (const std::exception& e) {
    return Error{ErrorCode::kProtocol, "", 0, method, e.what()};
  }
}

}  // namespace cumin
