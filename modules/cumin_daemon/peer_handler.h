#pragma once

#include "cumin_daemon/config_agent.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/suspect_agent.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Serves the other daemons: calls to this VM's target, membership,
    configuration and suspect requests. Serves operators: the metrics page and
    the quarantined requests. */
class PeerHandler final : public HttpRequestHandler {
 public:
  /** All arguments outlive this. */
  PeerHandler(DaemonContext& context, TargetDispatcher& target,
              FleetAgent& fleet, ConfigAgent& config, SuspectAgent& suspects);

  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;
  HttpResponse RefuseBody(const HttpRequest& head) override;

 private:
  Task<HttpResponse> RunCall(HttpRequest request, CallerWatch& caller);
  HttpResponse HandleForbid(const std::string& attempt);
  Task<HttpResponse> HandlePush(HttpRequest request);
  HttpResponse HandleSuspects(const std::string& body);
  HttpResponse HandleLift(const std::string& fingerprint);
  HttpResponse HandleVersionNotice(const std::string& query);
  HttpResponse MakeMetricsPage() const;
  /** @returns 0 when unknown */
  std::uint64_t LinkBytesPerSecond() const;

  DaemonContext& context_;
  TargetDispatcher& target_;
  FleetAgent& fleet_;
  ConfigAgent& config_;
  SuspectAgent& suspects_;
  const MonoTime started_at_;
};

}  // namespace cumin
