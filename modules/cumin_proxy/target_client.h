#pragma once

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"

namespace cumin {

/** Hands calls to the target on this VM over HTTP, each on a connection of its
    own. */
class TargetClient {
 public:
  /** @param board  outlives this object */
  explicit TargetClient(Blackboard& board);

  /** Executes one call; the target sees it at most once unless it is
      idempotent.
      @returns ran with the whole answer, or a refusal with the true verdict;
      may-have-run with kTargetFailed when the target's process has ended */
  CallResult Execute(const Call& call, const AnnouncedTarget& target);

 private:
  CallResult Exchange(const Call& call, const AnnouncedTarget& target,
                      const std::string& trace_parent);

  Blackboard& board_;
  Counter& runs_;
  Counter& lost_;
};

}  // namespace cumin
