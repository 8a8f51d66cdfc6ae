#pragma once

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/connection_pool.h"

namespace cumin {

/** Carries calls to the daemons beside other targets. Thread-safe. */
class RemotePath {
 public:
  /** @param board  outlives this object */
  explicit RemotePath(Blackboard& board);

  /** Sends one attempt to a daemon and waits for its end.
      @param owner  the member beside the target
      @param call   the call with the attempt's id */
  CallResult Execute(const Member& owner, const Call& call);

 private:
  Blackboard& board_;
  ConnectionPool pool_;
};

}  // namespace cumin
