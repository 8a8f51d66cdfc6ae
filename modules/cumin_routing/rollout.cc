#include "cumin_routing/rollout.h"

#include <algorithm>

namespace cumin {

const char* ToString(RolloutState state) {
  switch (state) {
    case RolloutState::kActive:
      return "active";
    case RolloutState::kComplete:
      return "complete";
    case RolloutState::kRolledBack:
      return "rolled-back";
  }
  return "unknown";
}

bool MergeRollout(const Rollout& received, Rollout* known) {
  if (received.IsLaterOrder(*known)) {
    *known = received;
    return true;
  }
  const bool is_same = received.order.era == known->order.era &&
                       received.order.revision == known->order.revision;
  if (!is_same) {
    return false;
  }
  const bool is_further = received.state > known->state;
  const bool is_newer =
      received.state == known->state && received.stamp > known->stamp;
  if (!is_further && !is_newer) {
    return false;
  }
  *known = received;
  return true;
}

VersionChoice ChooseVersion(const Rollout& rollout, double unit) {
  VersionChoice choice;
  choice.version = rollout.order.to_version;
  switch (rollout.state) {
    case RolloutState::kActive:
      choice.takes_new = unit < rollout.share;
      // The targets in use get the load that they would have in the end, so
      // that a version that fails under load only is found early.
      choice.new_targets = std::clamp(rollout.share, 0.0, 1.0);
      break;
    case RolloutState::kComplete:
      choice.takes_new = true;
      break;
    case RolloutState::kRolledBack:
      break;
  }
  return choice;
}

}  // namespace cumin
