#include "cumin_fleet/region_reachability.h"

namespace cumin {

namespace {

/** Consecutive failed probes after which a region is considered unreachable. */
constexpr int kFailuresUntilUnreachable = 3;

}  // namespace

void RegionReachability::OnProbe(const RegionId& region, bool answered,
                                 MonoTime now) {
  Region& stored = regions_[region];
  if (answered) {
    stored.failures = 0;
    return;
  }
  if (stored.failures == 0) {
    stored.first_failure = now;
  }
  if (stored.failures < kFailuresUntilUnreachable) {
    ++stored.failures;
  }
}

bool RegionReachability::IsReachable(const RegionId& region) const {
  return !UnreachableSince(region).has_value();
}

std::optional<MonoTime> RegionReachability::UnreachableSince(
    const RegionId& region) const {
  const auto it = regions_.find(region);
  if (it == regions_.end() || it->second.failures < kFailuresUntilUnreachable) {
    return std::nullopt;
  }
  return it->second.first_failure;
}

std::optional<RegionId> RegionReachability::RegionToRecheck() const {
  for (const auto& it : regions_) {
    if (it.second.failures > 0 &&
        it.second.failures < kFailuresUntilUnreachable) {
      return it.first;
    }
  }
  return std::nullopt;
}

}  // namespace cumin
