#include "cumin_fleet/gossip_targets.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

/** One in this many messages is sent to another region. */
constexpr std::uint64_t kOtherRegionInterval = 5;
/** Average number of daemons that send gossip to a departed member in each
    interval. */
constexpr double kDepartedGossipSenders = 3;

}  // namespace

std::vector<VmId> GossipTargets::Choose(int count, Random& random) {
  std::vector<VmId> near = LiveMembers(true);
  std::vector<VmId> far = LiveMembers(false);
  std::vector<VmId> chosen;
  while (static_cast<int>(chosen.size()) < count &&
         !(near.empty() && far.empty())) {
    ++turn_;
    const bool is_other_region =
        near.empty() || (!far.empty() && turn_ % kOtherRegionInterval == 0);
    std::vector<VmId>& members = is_other_region ? far : near;
    std::swap(members[random.Below(members.size())], members.back());
    chosen.push_back(std::move(members.back()));
    members.pop_back();
  }
  return chosen;
}

bool GossipTargets::MustGossipTo(const VmId& departed, Random& random) const {
  const Member* const member = table_.Find(departed);
  if (member == nullptr) {
    return false;
  }
  const std::vector<Member> live = table_.Live();
  const auto near = std::count_if(
      live.begin(), live.end(),
      [&](const Member& it) { return it.region == member->region; });
  const bool is_near = member->region == table_.self().region;
  if (near > 0 && !is_near) {
    return false;
  }
  const auto senders = near > 0 ? static_cast<double>(near)
                                : static_cast<double>(table_.live_count());
  return random.Unit() < kDepartedGossipSenders / senders;
}

std::vector<VmId> GossipTargets::LiveMembers(bool is_own_region) const {
  std::vector<VmId> members;
  for (const Member& it : table_.Live()) {
    const bool is_own = it.region == table_.self().region;
    if (is_own == is_own_region && it.vm != table_.self().vm) {
      members.push_back(it.vm);
    }
  }
  return members;
}

}  // namespace cumin
