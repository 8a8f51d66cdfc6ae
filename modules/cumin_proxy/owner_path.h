#pragma once

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/suspect_notifier.h"
#include "cumin_proxy/target_client.h"

namespace cumin {

/** The path to the target on this VM. Every call to that target passes here
    and through the blackboard's gate, which decides whether it runs. */
class OwnerPath final : public CallPath {
 public:
  /** @param board     outlives this object
      @param notifier  outlives this object */
  OwnerPath(Blackboard& board, SuspectNotifier& notifier);

  CallResult Execute(const Call& call) override;

  /** The target has announced itself. */
  void OnAnnouncement();

 private:
  void UpdateTarget();
  CallResult Admit(const Call& call);
  CallResult Run(GateCall& entered, const AnnouncedTarget& target);

  Blackboard& board_;
  SuspectNotifier& notifier_;
  TargetClient client_;
};

}  // namespace cumin
