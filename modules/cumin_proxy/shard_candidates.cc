#include "cumin_proxy/shard_candidates.h"

#include <optional>

namespace cumin {

std::vector<VmId> ShardOwnerCandidates(const Blackboard& board,
                                       const ServiceId& service) {
  std::vector<VmId> candidates;
  for (const Member& it : board.fleet.Carriers(service)) {
    if (it.target->state != TargetState::kLeaving &&
        it.vm != board.settings.vm) {
      candidates.push_back(it.vm);
    }
  }
  const std::optional<AnnouncedTarget> own = board.target.Current();
  const bool is_candidate = own && own->service == service && !board.leaving &&
                            own->state != TargetState::kLeaving;
  if (is_candidate) {
    candidates.push_back(board.settings.vm);
  }
  return candidates;
}

}  // namespace cumin
