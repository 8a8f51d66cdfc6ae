#include "cumin_fleet/probe_schedule.h"

#include <algorithm>
#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

/** One probe in this many at most goes to another region, whose links are
    billed. */
constexpr int kOtherRegionEvery = 5;
/** In larger regions all members together send this many in each period. */
constexpr int kOtherRegionProbes = 4;
/** One probe in this many goes to a dead member. */
constexpr int kDeadEvery = 9;
/** Daemons that start together are spread over this many turns. */
constexpr int kTurns = 1000;

void Shuffle(std::vector<VmId>& members, Random& random) {
  for (std::size_t n = members.size(); n > 1; --n) {
    std::swap(members[n - 1], members[random.Below(n)]);
  }
}

}  // namespace

ProbeSchedule::ProbeSchedule(const MemberTable& table)
    : table_(table),
      turn_(static_cast<int>(StableHash(table.self().vm.str()) % kTurns)) {}

std::optional<VmId> ProbeSchedule::Next(
    Random& random, const std::optional<RegionId>& recheck) {
  ++turn_;
  if (recheck) {
    const std::optional<VmId> member = DrawFrom(*recheck, random);
    if (member) {
      return member;
    }
  }
  std::vector<Round> order;
  if (turn_ % kDeadEvery == 0) {
    order.push_back(Round::kDead);
  }
  if (turn_ % OtherRegionEvery() == 0) {
    order.push_back(Round::kOtherRegions);
  }
  order.insert(order.end(),
               {Round::kOwnRegion, Round::kOtherRegions, Round::kDead});
  for (const Round it : order) {
    std::optional<VmId> member = Draw(it, random);
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
    const bool usable =
        it.state == MemberState::kAlive && Belongs(Round::kOwnRegion, it);
    if (usable && it.vm != target) {
      helpers.push_back(it.vm);
    }
  }
  Shuffle(helpers, random);
  helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(count)));
  return helpers;
}

int ProbeSchedule::OtherRegionEvery() const {
  int members = 0;
  for (const Member& it : table_.Live()) {
    members += it.region == table_.self().region ? 1 : 0;
  }
  return std::max(kOtherRegionEvery, members / kOtherRegionProbes);
}

bool ProbeSchedule::Belongs(Round round, const Member& member) const {
  if (member.vm == table_.self().vm) {
    return false;
  }
  if (round == Round::kDead) {
    return member.state == MemberState::kDead;
  }
  const bool own = member.region == table_.self().region;
  return IsLive(member) && own == (round == Round::kOwnRegion);
}

std::optional<VmId> ProbeSchedule::Draw(Round round, Random& random) {
  std::vector<VmId>& waiting = waiting_[round];
  for (int refills = 0; refills < 2; ++refills) {
    while (!waiting.empty()) {
      VmId vm = std::move(waiting.back());
      waiting.pop_back();
      const Member* member = table_.Find(vm);
      if (member != nullptr && Belongs(round, *member)) {
        return vm;
      }
    }
    for (const Member& it : table_.All()) {
      if (Belongs(round, it)) {
        waiting.push_back(it.vm);
      }
    }
    Shuffle(waiting, random);
  }
  return std::nullopt;
}

std::optional<VmId> ProbeSchedule::DrawFrom(const RegionId& region,
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
