#include "cumin_admission/drain_state.h"

#include <algorithm>
#include <utility>

namespace cumin {

void DrainState::BeginLeave(std::set<VmId> routing_peers, MonoTime now) {
  if (step_ != DrainStep::kServing) {
    return;
  }
  step_ = DrainStep::kAnnounced;
  announced_at_ = now;
  unconfirmed_ = std::move(routing_peers);
}

void DrainState::OnPeerConfirmed(const VmId& peer) { unconfirmed_.erase(peer); }

DrainStep DrainState::Advance(int in_flight, MonoTime now) {
  if (step_ != DrainStep::kServing) {
    // Steps never go backwards.
    step_ = std::max(step_, NextStep(in_flight, now));
  }
  return step_;
}

DrainStep DrainState::NextStep(int in_flight, MonoTime now) const {
  const Duration elapsed = now - announced_at_;
  const bool all_confirmed = unconfirmed_.empty();
  if (elapsed >= limits_.end_after) {
    return DrainStep::kEnded;
  }
  if (!all_confirmed && elapsed < limits_.accept_for) {
    return DrainStep::kAnnounced;
  }
  const bool may_end = all_confirmed || elapsed >= limits_.answer_for;
  if (in_flight == 0 && may_end) {
    return DrainStep::kEnded;
  }
  return elapsed >= limits_.cancel_after ? DrainStep::kCancelling
                                         : DrainStep::kRefusing;
}

}  // namespace cumin
