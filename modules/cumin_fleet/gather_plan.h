#pragma once

#include <vector>

#include "cumin_config/member_version_report.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** A daemon and the members whose versions it collects. */
struct GatherChunk {
  VmId via;
  /** Includes `via`. */
  std::vector<VmId> members;
};

/** Splits the members of a status request into chunks, so that a request costs
    each daemon about the square root of the fleet and has depth two.
    @param members  those to ask, the asking daemon left out
    @returns chunks of one region each, by region and VM */
std::vector<GatherChunk> SplitForGather(const std::vector<Member>& members);

/** The versions in force of a fleet as one request found them. */
struct GatherReport {
  /** One for each member, by VM. */
  std::vector<MemberVersionReport> members;

  /** Adds a report. Of several for one member a reachable one wins, then the
      one that was heard last. */
  void Add(const MemberVersionReport& report);

  /** @returns the members that did not answer */
  std::vector<VmId> Unconfirmed() const;
};

}  // namespace cumin
