#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** Answers JSON-RPC messages with registered methods, through libjsonrpccpp.

    Register every method before the first message; after that any number of
    threads may call Dispatch.
*/
class JsonRpcDispatcher {
 public:
  /** @param parameters  a JSON object
      @returns the result, or an error that the caller is told */
  using Method =
      std::function<Result<Json::Value>(const Json::Value& parameters)>;

  JsonRpcDispatcher();
  ~JsonRpcDispatcher();

  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

  /** @param name    e.g. "fleet.ping"
      @param method  called with the parameters of each message */
  void Register(const std::string& name, Method method);

  /** @param message  JSON text from a peer, in any state of repair
      @returns the JSON text to answer with */
  std::string Dispatch(const std::string& message);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin
