#include "cumin_config/readiness_rule.h"

#include <algorithm>

namespace cumin {

ReadinessRule::ReadinessRule(std::size_t min_peers)
    : min_peers_(std::max<std::size_t>(min_peers, 1)) {}

void ReadinessRule::RecordStoreVersion(std::uint64_t version) {
  store_version_known_ = true;
  highest_reported_version_ = std::max(highest_reported_version_, version);
}

void ReadinessRule::RecordPeerVersion(const VmId& vm, std::uint64_t version) {
  responding_peers_.insert(vm);
  highest_reported_version_ = std::max(highest_reported_version_, version);
}

bool ReadinessRule::IsReady(std::uint64_t version_in_force) {
  if (ready_) {
    return true;
  }
  const std::size_t needed =
      std::max<std::size_t>(1, std::min(min_peers_, known_peers_));
  const bool enough_responses =
      store_version_known_ || responding_peers_.size() >= needed;
  ready_ = enough_responses && version_in_force > 0 &&
           version_in_force >= highest_reported_version_;
  return ready_;
}

}  // namespace cumin
