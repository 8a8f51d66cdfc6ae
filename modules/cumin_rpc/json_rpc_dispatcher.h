#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** Dispatches JSON-RPC 2.0 messages to registered methods.

    All methods must be registered before the first call of Dispatch, which is
    then thread-safe.
*/
class JsonRpcDispatcher {
 public:
  /** @param parameters  a JSON object
      @returns the result, or an error that is reported to the caller */
  using Method =
      std::function<Result<Json::Value>(const Json::Value& parameters)>;

  JsonRpcDispatcher();
  ~JsonRpcDispatcher();

  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

  /** @param name    method name, e.g. "fleet.ping"
      @param method  may be called by several threads concurrently */
  void Register(const std::string& name, Method method);

  /** @param message  text from a peer; malformed input gives an error response
      @returns the response as JSON text */
  std::string Dispatch(const std::string& message);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin
