#pragma once

#include "cumin_daemon/config_agent.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Serves the other daemons: calls for this VM's target, and the messages of
    membership and configuration. */
class PeerHandler final : public HttpRequestHandler {
 public:
  /** All arguments outlive this. */
  PeerHandler(DaemonContext& board, TargetDispatcher& target, FleetAgent& fleet,
              ConfigAgent& config);

  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

 private:
  Task<HttpResponse> RunCall(HttpRequest request, CallerWatch& caller);
  HttpResponse Forbid(const std::string& attempt);
  Task<HttpResponse> Push(HttpRequest request);
  HttpResponse Tell(const std::string& query);
  HttpResponse Metrics() const;
  /** @returns 0 when unknown */
  std::uint64_t LinkBytesPerSecond() const;

  DaemonContext& board_;
  TargetDispatcher& target_;
  FleetAgent& fleet_;
  ConfigAgent& config_;
  const MonoTime started_at_;
};

}  // namespace cumin
