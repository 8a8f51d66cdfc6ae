#include "cumin_fleet/region_reachability.h"

namespace cumin {

namespace {

/** Failed probes in a row after which a region counts as unreachable. */
constexpr int kFailuresToUnreachable = 3;

}  // namespace

void RegionReachability::OnProbe(const RegionId& region, bool answered,
                                 MonoTime now) {
  Region& held = regions_[region];
  if (answered) {
    held.failures = 0;
    return;
  }
  if (held.failures == 0) {
    held.first_failure = now;
  }
  if (held.failures < kFailuresToUnreachable) {
    ++held.failures;
  }
}

bool RegionReachability::IsReachable(const RegionId& region) const {
  return !UnreachableSince(region).has_value();
}

std::optional<MonoTime> RegionReachability::UnreachableSince(
    const RegionId& region) const {
  const auto it = regions_.find(region);
  if (it == regions_.end() || it->second.failures < kFailuresToUnreachable) {
    return std::nullopt;
  }
  return it->second.first_failure;
}

std::optional<RegionId> RegionReachability::RegionToRecheck() const {
  for (const auto& it : regions_) {
    if (it.second.failures > 0 && it.second.failures < kFailuresToUnreachable) {
      return it.first;
    }
  }
  return std::nullopt;
}

}  // namespace cumin
