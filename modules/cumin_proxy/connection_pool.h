#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/metrics.h"
#include "cumin_routing/connection_health.h"
#include "cumin_rpc/http_client.h"

namespace cumin {

/** Kept connections to servers, used as ConnectionHealth decides.

    Work that must not run twice goes over fresh connections, because the HTTP
    client sends a request again when a kept one fails. Thread-safe: one mutex
    guards the table and is not held while a connection is in use.
*/
class ConnectionPool {
 public:
  /** @param clock       outlives this object
      @param metrics     outlives this object
      @param probe_path  what to get for a probe */
  ConnectionPool(const Clock& clock, MetricRegistry& metrics,
                 std::string probe_path);

  /** Runs one exchange.
      @param server         where to send it
      @param request        the request
      @param timeout        longest silence from the server
      @param repeatability  whether it may be sent twice
      @see HttpClient::Exchange */
  Result<HttpResponse> Exchange(const Endpoint& server,
                                const HttpRequest& request, Duration timeout,
                                Repeatability repeatability);

 private:
  struct Connection {
    std::unique_ptr<HttpClient> client;
    ConnectionTimes times;
  };
  struct Server {
    ConnectionHealth health;
    /** The one used last is at the back. */
    std::vector<Connection> idle;
  };

  Connection Take(const Endpoint& server, Repeatability repeatability);
  std::optional<Connection> TakeIdle(const Endpoint& server,
                                     Repeatability repeatability,
                                     ConnectionDecision* decision);
  bool Probe(Connection& connection);
  void PutBack(Connection connection);
  void NoteTimeout(const Connection& connection, MonoTime sent_at);

  const Clock& clock_;
  const std::string probe_path_;
  Counter& probes_;
  Counter& replaced_;
  std::mutex mutex_;
  std::map<Endpoint, Server> servers_;
};

}  // namespace cumin
