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

/** Asks daemons over JSON-RPC. Each is as good as any other, so they are tried
    in turn until one answers. */
class DaemonClient {
 public:
  /** @param daemons  at least one
      @param timeout  longest silence from each */
  DaemonClient(std::vector<Endpoint> daemons, Duration timeout);

  /** @returns which version is in force where */
  Result<StatusReport> GatherStatus();

  /** @returns the newest records that the daemon knows, newest first */
  Result<std::vector<ConfigVersionRecord>> ReadHistory(std::uint64_t limit);

  /** @param version  0 for the one in force */
  Result<ConfigBundle> ReadBundle(std::uint64_t version);

 private:
  /** A method's result and the daemon that it came from. */
  struct Answer {
    Json::Value value;
    std::string source;
  };

  Result<Answer> Call(const std::string& method, const Json::Value& parameters);

  std::vector<Endpoint> daemons_;
  Duration timeout_;
};

}  // namespace cumin
