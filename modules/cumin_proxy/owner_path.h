#pragma once

#include <atomic>

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/target_client.h"

namespace cumin {

/** The path to the target on this VM. Every call to that target passes here,
    so this is where its slots are counted and "not run" is decided. */
class OwnerPath final : public CallPath {
 public:
  /** @param board  outlives this object */
  explicit OwnerPath(Blackboard& board);

  CallResult Execute(const Call& call) override;

  /** @returns the target's load now */
  TargetLoad Load() const;

 private:
  CallResult Admit(const Call& call);

  Blackboard& board_;
  TargetClient client_;
  std::atomic<int> in_flight_{0};
};

}  // namespace cumin
