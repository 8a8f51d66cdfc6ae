#include "cumin_config/readiness_rule.h"

#include <algorithm>

namespace cumin {

ReadinessRule::ReadinessRule(std::size_t peers_needed)
    : peers_needed_(std::max<std::size_t>(peers_needed, 1)) {}

void ReadinessRule::RecordStoreVersion(std::uint64_t version) {
  store_heard_ = true;
  highest_heard_ = std::max(highest_heard_, version);
}

void ReadinessRule::RecordPeerVersion(const VmId& vm, std::uint64_t version) {
  peers_heard_.insert(vm);
  highest_heard_ = std::max(highest_heard_, version);
}

bool ReadinessRule::IsReady(std::uint64_t version_in_force) {
  if (ready_) {
    return true;
  }
  const std::size_t needed =
      std::max<std::size_t>(1, std::min(peers_needed_, known_peers_));
  const bool enough_heard = store_heard_ || peers_heard_.size() >= needed;
  ready_ = enough_heard && version_in_force > 0 &&
           version_in_force >= highest_heard_;
  return ready_;
}

}  // namespace cumin
