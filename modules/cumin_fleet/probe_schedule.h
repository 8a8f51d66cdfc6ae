#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_fleet/member_table.h"

namespace cumin {

/** Chooses the next member to probe. Members of the own region are probed in
    shuffled round-robin order. Members of other regions are probed less often,
    depending on the size of the own region. Dead members are probed
    occasionally, so that they are found again after a network partition heals.

    Not thread-safe.
*/
class ProbeSchedule {
 public:
  /** @param table  member table of this daemon; must outlive this object */
  explicit ProbeSchedule(const MemberTable& table);

  /** @param recheck  region to probe immediately, if any
      @returns the next member, or nothing when no other member is known */
  std::optional<VmId> Next(Random& random,
                           const std::optional<RegionId>& recheck);

  /** Chooses random members of the own region for an indirect probe.
      @param target  member that did not respond
      @param count   maximum number of members */
  std::vector<VmId> Helpers(const VmId& target, int count,
                            Random& random) const;

 private:
  enum class ProbeGroup { kOwnRegion, kOtherRegions, kDead };

  int OtherRegionInterval() const;
  bool IsInGroup(ProbeGroup group, const Member& member) const;
  std::optional<VmId> NextInGroup(ProbeGroup group, Random& random);
  std::optional<VmId> RandomMemberOf(const RegionId& region,
                                     Random& random) const;

  const MemberTable& table_;
  std::map<ProbeGroup, std::vector<VmId>> remaining_;
  int turn_;
};

}  // namespace cumin
