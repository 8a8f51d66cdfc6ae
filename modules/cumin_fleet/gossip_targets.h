#pragma once

#include <cstdint>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_fleet/member_table.h"

namespace cumin {

/** Chooses the receivers of gossip that is sent beside the probes.

    The links between regions are billed by volume, so most of it stays in the
    region of this daemon; what is known there is known to all regions soon, as
    each of its members passes some of it on. Not thread-safe.
*/
class GossipTargets {
 public:
  /** @param table  member table of this daemon; must outlive this object */
  explicit GossipTargets(const MemberTable& table) : table_(table) {}

  /** @returns up to `count` different live members, without this daemon */
  std::vector<VmId> Choose(int count, Random& random);

  /** Decides whether this daemon sends gossip to a departed member, which may
      have restarted. Of all daemons together a few do so in each interval: of
      those in the member's region, or of all when none is left there. */
  bool MustGossipTo(const VmId& departed, Random& random) const;

 private:
  std::vector<VmId> LiveMembers(bool is_own_region) const;

  const MemberTable& table_;
  std::uint64_t turn_ = 0;
};

}  // namespace cumin
