#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_queries.h"
#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin {

/** JSON-RPC client for a list of daemons. Every daemon can serve any query, so
    they are tried in order until one responds. */
class DaemonClient {
 public:
  /** @param daemons  at least one
      @param timeout  time limit for each daemon to respond */
  DaemonClient(std::vector<Endpoint> daemons, Duration timeout);

  /** @returns the version in force on each daemon */
  Result<StatusReport> GatherStatus();

  /** @returns the most recent records that the daemon holds, newest first */
  Result<std::vector<ConfigVersionRecord>> ReadHistory(std::uint64_t limit);

  /** @param version  0 for the version in force */
  Result<ConfigBundle> ReadBundle(std::uint64_t version);

 private:
  /** A method's result and the address of the daemon that returned it. */
  struct Answer {
    Json::Value value;
    std::string source;
  };

  Result<Answer> Call(const std::string& method, const Json::Value& parameters);

  std::vector<Endpoint> daemons_;
  Duration timeout_;
};

}  // namespace cumin
