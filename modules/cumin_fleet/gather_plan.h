#pragma once

#include <vector>

#include "cumin_config/member_version_report.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** A daemon and the members whose version reports it collects. */
struct GatherChunk {
  VmId via;
  /** Includes `via`. */
  std::vector<VmId> members;
};

/** Splits the members of a status request into chunks of about the square root
    of the fleet size, so that a request has depth two and each daemon contacts
    about that many others.
    @param members  the members to query, without the querying daemon
    @returns chunks of one region each, ordered by region and VM */
std::vector<GatherChunk> SplitForGather(const std::vector<Member>& members);

/** Versions in force across the fleet, as collected by one status request. */
struct GatherReport {
  /** One report for each member, ordered by VM. */
  std::vector<MemberVersionReport> members;

  /** Adds a report. If a member already has one, a reachable report takes
      precedence, then the one with the most recent contact. */
  void Add(const MemberVersionReport& report);

  /** @returns the members that did not respond */
  std::vector<VmId> Unconfirmed() const;
};

}  // namespace cumin
