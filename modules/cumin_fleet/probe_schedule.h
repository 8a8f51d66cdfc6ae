#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_fleet/member_table.h"

namespace cumin {

/** Chooses whom to probe next: each member of the own region once in a
    shuffled round, now and then one of another region, the more rarely the
    larger the own region is, and at times a dead one, which finds it again
    after a cut has healed.

    Not thread-safe.
*/
class ProbeSchedule {
 public:
  /** @param table  this daemon's members; outlives this */
  explicit ProbeSchedule(const MemberTable& table);

  /** @param random   shuffles the rounds
      @param recheck  a region to probe now, if any
      @returns the next member, or nothing when there is no other */
  std::optional<VmId> Next(Random& random,
                           const std::optional<RegionId>& recheck);

  /** Chooses members of the own region to probe through.
      @param target  the member that did not answer
      @param count   how many at most */
  std::vector<VmId> Helpers(const VmId& target, int count,
                            Random& random) const;

 private:
  enum class Round { kOwnRegion, kOtherRegions, kDead };

  int OtherRegionEvery() const;
  bool Belongs(Round round, const Member& member) const;
  std::optional<VmId> Draw(Round round, Random& random);
  std::optional<VmId> DrawFrom(const RegionId& region, Random& random) const;

  const MemberTable& table_;
  std::map<Round, std::vector<VmId>> waiting_;
  int turn_;
};

}  // namespace cumin
