#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cumin_fleet/member.h"

namespace cumin {

/** One attempt to send a configuration change across a region link. */
struct RegionTransfer {
  VmId from;
  VmId to;
  RegionId to_region;

  friend bool operator==(const RegionTransfer& a, const RegionTransfer& b) {
    return a.from == b.from && a.to == b.to && a.to_region == b.to_region;
  }
};

/** Distribution plan of one configuration version.

    Every daemon computes the same plan from the live members: which daemons
    watch the store, which send across each region link, and a distribution
    tree inside each region. Members missed because of a stale member table are
    updated by anti-entropy. Immutable.
*/
class SpreadPlan {
 public:
  /** Maximum number of children of a tree node in its own failure domain. */
  static constexpr int kFanOut = 4;
  /** Number of daemons in each region that watch the store. */
  static constexpr int kFetchers = 2;

  /** @param live           the live members
      @param source_region  region from which the change is distributed; if it
      is empty or has no members, the first region by name */
  SpreadPlan(const std::vector<Member>& live, const RegionId& source_region);

  const RegionId& source_region() const { return source_region_; }

  /** Ranks the members of a region as watchers of the store, identically on
      every daemon. Failure domains alternate, so that neighbours in the ranking
      fail independently where the region allows it.
      @returns the members, fetchers first */
  const std::vector<VmId>& FetcherRanking(const RegionId& region) const;

  /** @returns at most kFetchers members, in distinct failure domains if the
      region has more than one */
  std::vector<VmId> Fetchers(const RegionId& region) const;

  /** @returns the position of the member in its region's ranking, or -1 */
  int FetcherRank(const VmId& vm) const;

  /** @returns the transfers to start in the source region: one to the first
      fetcher of each other region */
  std::vector<RegionTransfer> Transfers() const;

  /** @returns the attempts for one region in order; each is made only when the
      previous one was not confirmed */
  std::vector<RegionTransfer> Attempts(const RegionId& to_region) const;

  /** @returns the members that a fetcher asks, in order, when its transfer does
      not arrive */
  std::vector<VmId> Sources() const { return Fetchers(source_region_); }

  /** Returns the children of a node in the distribution tree.
      @param version  determines the shape of the tree, so that the load is
                      spread over different members for each version
      @param root     member of the region at which the change arrived
      @param node     a member of the same region
      @returns the members to forward to; a parent that cannot reach a child
      forwards to the children of that child itself */
  std::vector<VmId> Children(std::uint64_t version, const VmId& root,
                             const VmId& node) const;

  /** @returns the regions that have live members */
  std::vector<RegionId> Regions() const;

 private:
  using DomainMembers = std::map<FailureDomainId, std::vector<VmId>>;

  std::vector<VmId> RankAcrossDomains(const DomainMembers& domains) const;

  RegionId source_region_;
  std::map<VmId, Member> members_;
  std::map<RegionId, DomainMembers> domains_;
  std::map<RegionId, std::vector<VmId>> rankings_;
};

}  // namespace cumin
