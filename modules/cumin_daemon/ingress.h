#pragma once

#include <map>
#include <optional>
#include <string>

#include "cumin_admission/key_check.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/inbound_agent.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Serves the callers on this VM: looks up the route, chooses a target, retries
    where that is safe, and returns the target's complete response or a refusal
    that states correctly whether the call may have run.

    Each call uses the version of the routes that was active when it arrived.
*/
class Ingress final : public HttpRequestHandler {
 public:
  /** All arguments outlive this. */
  Ingress(DaemonContext& context, TargetDispatcher& target, PeerClient& peers,
          InboundAgent& inbound);

  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;
  HttpResponse RefuseBody(const HttpRequest& head) override;

 private:
  struct CallProgress;

  Task<HttpResponse> Serve(HttpRequest request, CallerWatch& caller,
                           CallLogBuffer& call_log);
  /** @param call  receives what becomes known of crashes under the request */
  Task<HttpResponse> ForwardCall(MeshCall& call, const Route& route,
                                 const Customer* customer, CallerWatch& caller,
                                 CallLogBuffer& call_log);
  /** Checks the key of a request, and replaces it by its customer's name. */
  KeyDecision AuthorizeRequest(const RouteTable& routes, const Route& route,
                               HttpRequest& request) const;
  /** @returns the refusal of a request whose key does not admit it */
  std::optional<HttpResponse> RefuseKey(const KeyDecision& key,
                                        CallLogBuffer& call_log);
  /** @returns the refusal of a request beyond the customer's allotment */
  std::optional<HttpResponse> RefuseAboveAllotment(const Customer& customer,
                                                   CallLogBuffer& call_log);
  Task<CallOutcome> TryTarget(const Member& target, const MeshCall& call,
                              CallerWatch& caller, CallLogBuffer& call_log);
  /** Waits for room on the link of the target's VM.
      @returns the outcome of a call whose body gets no room in time */
  Task<std::optional<CallOutcome>> AwaitRoom(const Member& target,
                                             const MeshCall& call);
  bool MayRetry(const MeshCall& call, const Route& route,
                const CallOutcome& outcome, const CallProgress& progress);
  /** @param outcome  its response is moved out */
  HttpResponse MakeResponse(const MeshCall& call, CallOutcome& outcome) const;
  /** Limits the call to the time until the process exits.
      @returns the refusal of a call that may last longer, once this daemon
      accepts no new ones */
  std::optional<HttpResponse> RefuseBeforeExit(MeshCall& call,
                                               CallLogBuffer& call_log);
  /** @returns the refusal of a request that is known to crash targets */
  std::optional<HttpResponse> RefuseQuarantined(const MeshCall& call,
                                                CallLogBuffer& call_log);
  /** @param customer  the holder of the request's key; null for none */
  Result<MeshCall> MakeCall(HttpRequest request, const Route& route,
                            const Customer* customer);

  /** Estimates how long ago the caller made its first attempt. A caller that
      retries has less time left than it started with; the difference to the
      longest time budget seen on the route is the time already used. */
  Duration EstimateElapsed(const Route& route, Duration time_budget);

  DaemonContext& context_;
  TargetDispatcher& target_;
  PeerClient& peers_;
  InboundAgent& inbound_;
  /** By route name; reset when the version of the routes changes. */
  std::map<std::string, Duration> longest_time_budget_;
  std::uint64_t time_budget_version_ = 0;
};

}  // namespace cumin
