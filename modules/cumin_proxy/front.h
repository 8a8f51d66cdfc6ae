#pragma once

#include <atomic>

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/ingress_path.h"
#include "cumin_proxy/owner_path.h"
#include "cumin_rpc/http_server.h"
#include "cumin_rpc/json_rpc_dispatcher.h"

namespace cumin {

/** The daemon's one HTTP handler: sorts requests by path to callers' calls,
    other daemons' calls, JSON-RPC, announcements and the probes.

    Calls in execution are bounded below the server's threads, so that control
    messages find a free thread while calls pile up.
*/
class Front final : public HttpHandler {
 public:
  /** All arguments outlive this object. */
  Front(Blackboard& board, IngressPath& ingress, OwnerPath& owner,
        OrderPath& orders, JsonRpcDispatcher& dispatcher);

  HttpResponse Handle(const HttpRequest& request) override;

  /** @returns calls in execution now, callers' and other daemons' */
  int active_calls() const { return active_calls_.load(); }

 private:
  HttpResponse HandleReserved(const HttpRequest& request);
  HttpResponse HandleAnnouncement(const HttpRequest& request);
  HttpResponse HandlePeerCall(const HttpRequest& request);
  HttpResponse HandleRpc(const HttpRequest& request);
  HttpResponse HandleReady() const;

  Blackboard& board_;
  IngressPath& ingress_;
  OwnerPath& owner_;
  OrderPath& orders_;
  JsonRpcDispatcher& dispatcher_;
  std::atomic<int> active_calls_{0};
  Counter& control_bytes_in_;
  Counter& control_bytes_out_;
};

}  // namespace cumin
