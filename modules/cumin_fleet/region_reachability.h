#pragma once

#include <map>
#include <optional>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Tracks which other regions respond to the probes of this daemon.

    Members of an unreachable region stay in the member table and are not
    declared dead by members of other regions. Not thread-safe.
*/
class RegionReachability {
 public:
  /** Records the result of a probe into another region. */
  void OnProbe(const RegionId& region, bool answered, MonoTime now);

  /** @returns false after several consecutive probes into the region failed */
  bool IsReachable(const RegionId& region) const;

  /** @returns the time of the first of the failed probes, or nothing when the
      region is reachable */
  std::optional<MonoTime> UnreachableSince(const RegionId& region) const;

  /** @returns a region whose last probe failed but that is not yet considered
      unreachable; it should be probed out of turn */
  std::optional<RegionId> RegionToRecheck() const;

 private:
  struct Region {
    int failures = 0;
    MonoTime first_failure;
  };

  std::map<RegionId, Region> regions_;
};

}  // namespace cumin
