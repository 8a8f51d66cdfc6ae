#pragma once

#include <string>

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/call_planner.h"
#include "cumin_proxy/order_path.h"
#include "cumin_proxy/owner_path.h"
#include "cumin_proxy/remote_path.h"

namespace cumin {

/** Takes callers' requests: finds the route and the contract's grant, holds the
    customer to its rate, chooses a target and has the call executed there,
    again elsewhere where that is allowed. Thread-safe. */
class IngressPath {
 public:
  /** @param board   outlives this object
      @param owner   the path to this VM's target
      @param remote  the path to other daemons
      @param orders  the path of calls that must run at most once */
  IngressPath(Blackboard& board, OwnerPath& owner, RemotePath& remote,
              OrderPath& orders);

  /** Answers one caller's request. */
  HttpResponse Handle(const HttpRequest& request);

 private:
  CallResult Route(const HttpRequest& request, const std::string& trace_parent);
  CallResult ExecuteWithRetries(const PlannedCall& planned);
  CallResult TryOnce(const Call& call, ChooseRequest* request);
  AttemptId NextAttempt();

  Blackboard& board_;
  OwnerPath& owner_;
  RemotePath& remote_;
  OrderPath& orders_;
  Counter& retries_;
  Counter& redirects_;
};

}  // namespace cumin
