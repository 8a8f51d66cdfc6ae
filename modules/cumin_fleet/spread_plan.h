#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cumin_fleet/member.h"

namespace cumin {

/** One attempt to send a change across a region link. */
struct RegionTransfer {
  VmId from;
  VmId to;
  RegionId to_region;

  friend bool operator==(const RegionTransfer& a, const RegionTransfer& b) {
    return a.from == b.from && a.to == b.to && a.to_region == b.to_region;
  }
};

/** The way of one configuration version through the fleet.

    Computed alike by every daemon from its live members: who watches the
    store, who sends across each region link, and a tree inside each region.
    Members that a stale table leaves out are repaired by anti-entropy.
    Immutable.
*/
class SpreadPlan {
 public:
  /** Children of a tree node inside one failure domain. */
  static constexpr int kFanOut = 4;
  /** Daemons of each region that watch the store. */
  static constexpr int kFetchers = 2;

  /** @param live         the live members
      @param source_region  the region that the change starts from; when empty
      or without members, the one first in order of its name */
  SpreadPlan(const std::vector<Member>& live, const RegionId& source_region);

  const RegionId& source_region() const { return source_region_; }

  /** Ranks a region's members as watchers of the store, the same on every
      daemon; those of other failure domains alternate, so any two
      neighbours in the order fail independently where the region allows.
      @returns the members, fetchers first */
  const std::vector<VmId>& FetcherRanking(const RegionId& region) const;

  /** @returns at most kFetchers members, in distinct failure domains if the
      region has more than one */
  std::vector<VmId> Fetchers(const RegionId& region) const;

  /** @returns the member's place in its region's ranking, or -1 */
  int FetcherRank(const VmId& vm) const;

  /** @returns the transfers that a source fetcher starts: one for each other
      region, to its first fetcher */
  std::vector<RegionTransfer> Transfers() const;

  /** @returns the attempts for one region in order; the next is made when the
      one before was not confirmed */
  std::vector<RegionTransfer> Attempts(const RegionId& to_region) const;

  /** @returns for a fetcher whose transfer stays away: whom to ask, in order */
  std::vector<VmId> Sources() const { return Fetchers(source_region_); }

  /** Members to which a tree node passes a change on.
      @param version  shapes the tree, so that load moves around
      @param root     the member of this region where the change arrived
      @param node     the node, in the root's region
      @returns its children; a parent that cannot reach a child passes the
      change on to that child's children itself */
  std::vector<VmId> Children(std::uint64_t version, const VmId& root,
                             const VmId& node) const;

  /** @returns the regions with live members */
  std::vector<RegionId> Regions() const;

 private:
  using DomainMembers = std::map<FailureDomainId, std::vector<VmId>>;

  std::vector<VmId> Rank(const DomainMembers& domains) const;

  RegionId source_region_;
  std::map<VmId, Member> members_;
  std::map<RegionId, DomainMembers> domains_;
  std::map<RegionId, std::vector<VmId>> rankings_;
};

}  // namespace cumin
