#include "cumin_rpc/json_rpc_dispatcher.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

#include "cumin_core/json_text.h"

namespace cumin {

class JsonRpcDispatcher::Implementation final
    : public jsonrpc::IProcedureInvokationHandler {
 public:
  Implementation()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void Register(const std::string& name, Method method) {
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, NULL));
    methods_[name] = std::move(method);
  }

  std::string Dispatch(const std::string& message) {
    std::string response;
    protocol_->HandleRequest(message, response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {  // NOLINT
    Result<Json::Value> result =
        methods_.at(procedure.GetProcedureName())(input);
    if (!result) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      Describe(result.error()));
    }
    output = result.value();
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, Method> methods_;
};

JsonRpcDispatcher::JsonRpcDispatcher()
    : implementation_(std::make_unique<Implementation>()) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::Register(const std::string& name, Method method) {
  implementation_->Register(name, std::move(method));
}

std::string JsonRpcDispatcher::Dispatch(const std::string& message) {
  // Rejects messages that are not JSON or are nested too deeply before they
  // reach libjsonrpccpp, whose HandleRequest throws on some of them.
  const Result<Json::Value> parsed = ParseJson(message, "json-rpc message");
  if (!parsed || !(parsed.value().isObject() || parsed.value().isArray())) {
    return R"({"jsonrpc":"2.0","id":null,"error":)"
           R"({"code":-32700,"message":"the message is not JSON-RPC"}})";
  }
  try {
    return implementation_->Dispatch(message);
  } catch (const std::exception&) {
    return R"({"jsonrpc":"2.0","id":null,"error":)"
           R"({"code":-32603,"message":"internal error"}})";
  }
}

}  // namespace cumin
