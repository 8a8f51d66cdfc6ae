#pragma once

#include <map>
#include <optional>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Which other regions answer this daemon's probes.

    A region none of whose members answers is unreachable, not gone: its
    entries stay in the member table, and nobody outside declares them dead.
    Not thread-safe.
*/
class RegionReachability {
 public:
  /** Notes the end of a probe into another region. */
  void OnProbe(const RegionId& region, bool answered, MonoTime now);

  /** @returns false after several probes into the region in a row failed */
  bool IsReachable(const RegionId& region) const;

  /** @returns since when the region has not answered, or nothing when it is
      reachable */
  std::optional<MonoTime> UnreachableSince(const RegionId& region) const;

  /** @returns a region whose last probe failed and that is not yet known as
      unreachable; it should be probed without waiting for its turn */
  std::optional<RegionId> RegionToRecheck() const;

 private:
  struct Region {
    int failures = 0;
    MonoTime first_failure;
  };

  std::map<RegionId, Region> regions_;
};

}  // namespace cumin
