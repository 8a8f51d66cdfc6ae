#include "cumin_admission/nested_calls.h"

#include <cmath>
#include <iterator>

namespace cumin {

void NestedCalls::OnCall(const std::string& route, const ServiceId& origin) {
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) {
    return;
  }
  Origins& origins = routes_[route];
  origins.counts[origin] += 1;
  origins.total += 1;
  if (origins.total < kWindow) {
    return;
  }
  // Half of the weight of earlier calls is forgotten.
  origins.total = 0;
  for (auto it = origins.counts.begin(); it != origins.counts.end();) {
    it->second /= 2;
    origins.total += it->second;
    it = it->second == 0 ? origins.counts.erase(it) : std::next(it);
  }
}

bool NestedCalls::IsNested(const std::string& route,
                           const ServiceShares& shares) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return false;
  }
  double share = 0;
  for (const auto& [origin, count] : found->second.counts) {
    const auto known = shares.find(origin);
    share += known == shares.end() ? 1 : known->second;
  }
  return share < 1 && std::pow(share, found->second.total) < kMaxChance;
}

}  // namespace cumin
