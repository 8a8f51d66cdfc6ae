#include "cumin_fleet/probe_schedule.h"

#include <algorithm>
#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

/** Minimum number of probes per probe into another region, whose links are
    billed. */
constexpr int kMinOtherRegionInterval = 5;
/** Number of probes into other regions that all members of a large region send
    together in each period. */
constexpr int kOtherRegionProbesPerPeriod = 4;
/** One in this many probes is sent to a dead member. */
constexpr int kDeadMemberInterval = 9;
/** Range of the initial turn, which is derived from the VM so that daemons that
    start together do not probe other regions at the same time. */
constexpr int kInitialTurns = 1000;

void Shuffle(std::vector<VmId>& members, Random& random) {
  for (std::size_t n = members.size(); n > 1; --n) {
    std::swap(members[n - 1], members[random.Below(n)]);
  }
}

}  // namespace

ProbeSchedule::ProbeSchedule(const MemberTable& table)
    : table_(table),
      turn_(
          static_cast<int>(StableHash(table.self().vm.str()) % kInitialTurns)) {
}

std::optional<VmId> ProbeSchedule::Next(
    Random& random, const std::optional<RegionId>& recheck) {
  ++turn_;
  if (recheck) {
    const std::optional<VmId> member = RandomMemberOf(*recheck, random);
    if (member) {
      return member;
    }
  }
  std::vector<ProbeGroup> order;
  if (turn_ % kDeadMemberInterval == 0) {
    order.push_back(ProbeGroup::kDead);
  }
  if (turn_ % OtherRegionInterval() == 0) {
    order.push_back(ProbeGroup::kOtherRegions);
  }
  order.insert(order.end(), {ProbeGroup::kOwnRegion, ProbeGroup::kOtherRegions,
                             ProbeGroup::kDead});
  for (const ProbeGroup it : order) {
    std::optional<VmId> member = NextInGroup(it, random);
    if (member) {
      return member;
    }
  }
  return std::nullopt;
}

std::vector<VmId> ProbeSchedule::Helpers(const VmId& target, int count,
                                         Random& random) const {
  std::vector<VmId> helpers;
  for (const Member& it : table_.Live()) {
    const bool is_usable = it.state == MemberState::kAlive &&
                           IsInGroup(ProbeGroup::kOwnRegion, it);
    if (is_usable && it.vm != target) {
      helpers.push_back(it.vm);
    }
  }
  Shuffle(helpers, random);
  helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(count)));
  return helpers;
}

int ProbeSchedule::OtherRegionInterval() const {
  int members = 0;
  for (const Member& it : table_.Live()) {
    members += it.region == table_.self().region ? 1 : 0;
  }
  return std::max(kMinOtherRegionInterval,
                  members / kOtherRegionProbesPerPeriod);
}

bool ProbeSchedule::IsInGroup(ProbeGroup group, const Member& member) const {
  if (member.vm == table_.self().vm) {
    return false;
  }
  if (group == ProbeGroup::kDead) {
    return member.state == MemberState::kDead;
  }
  const bool is_own_region = member.region == table_.self().region;
  return IsLive(member) && is_own_region == (group == ProbeGroup::kOwnRegion);
}

std::optional<VmId> ProbeSchedule::NextInGroup(ProbeGroup group,
                                               Random& random) {
  std::vector<VmId>& remaining = remaining_[group];
  for (int refills = 0; refills < 2; ++refills) {
    while (!remaining.empty()) {
      VmId vm = std::move(remaining.back());
      remaining.pop_back();
      const Member* member = table_.Find(vm);
      if (member != nullptr && IsInGroup(group, *member)) {
        return vm;
      }
    }
    for (const Member& it : table_.All()) {
      if (IsInGroup(group, it)) {
        remaining.push_back(it.vm);
      }
    }
    Shuffle(remaining, random);
  }
  return std::nullopt;
}

std::optional<VmId> ProbeSchedule::RandomMemberOf(const RegionId& region,
                                                  Random& random) const {
  std::vector<VmId> members;
  for (const Member& it : table_.Live()) {
    if (it.region == region && it.vm != table_.self().vm) {
      members.push_back(it.vm);
    }
  }
  if (members.empty()) {
    return std::nullopt;
  }
  return members[random.Below(members.size())];
}

}  // namespace cumin
