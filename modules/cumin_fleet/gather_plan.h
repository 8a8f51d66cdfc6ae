#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_fleet/gossip_message.h"
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

/** What one daemon has in force, for `cuminctl status`. */
struct VersionReport {
  VmId vm;
  VersionStamp in_force;
  /** Since when it has been in force, by that daemon's wall clock. */
  WallTime since;
  /** False when the daemon did not answer; the version is then the last that
      is known. */
  bool confirmed = false;
  /** When it was last heard, by the wall clock of who heard it; zero when
      nobody has. */
  WallTime last_heard;
};

/** The versions in force of a fleet as one request found them. */
struct GatherReport {
  /** One for each member, by VM. */
  std::vector<VersionReport> members;

  /** Adds a report. Of several for one member a confirmed one wins, then the
      one that was heard last. */
  void Add(const VersionReport& report);

  /** @returns the members that did not answer */
  std::vector<VmId> Unconfirmed() const;
};

}  // namespace cumin
