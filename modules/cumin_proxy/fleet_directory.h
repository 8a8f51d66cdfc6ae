#pragma once

#include <vector>

#include "cumin_core/error.h"
#include "cumin_fleet/member.h"
#include "cumin_store/store.h"

namespace cumin {

/** The store prefix under which each region has one list of contacts. */
constexpr char kContactsPrefix[] = "fleet/contacts/";

/** The lists in the store by which daemons find a first peer.

    One key for each region holds a few members; its first fetcher keeps it.
    So the store's calls do not grow with the fleet, and an entry that is out
    of date costs a joining daemon one failed attempt. Not thread-safe.
*/
class FleetDirectory {
 public:
  /** @param store  outlives this object */
  explicit FleetDirectory(Store& store) : store_(store) {}

  /** @returns the contacts of every region */
  Result<std::vector<Member>> ReadContacts();

  /** Replaces the region's list if it differs.
      @returns kConflict when another daemon wrote meanwhile */
  Result<void> WriteContacts(const RegionId& region,
                             const std::vector<Member>& contacts);

 private:
  Store& store_;
};

}  // namespace cumin
