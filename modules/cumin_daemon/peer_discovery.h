#pragma once

#include <string>
#include <vector>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/suspect_agent.h"
#include "cumin_fleet/contact_list.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Registers this daemon's address in the store under a lease, and discovers
    other daemons there.

    The store only provides the first contacts; the member table comes from the
    daemons themselves. If the lease expired while the store was unreachable,
    the entry is written again as soon as a renewal reports it.
*/
class PeerDiscovery {
 public:
  /** All arguments outlive this. */
  PeerDiscovery(DaemonContext& context, AsyncStore& store, FleetAgent& fleet,
                SuspectAgent& suspects);

  /** Starts registration and discovery. */
  void Start();

  /** Ends the lease, which removes the entry from the store. */
  Task<void> Unregister();

 private:
  Task<void> MaintainLease();
  Task<void> RunJoinLoop();
  Task<bool> RegisterContact();
  /** Ends early when the store comes back from a copy. */
  Task<void> SleepWhileEraLasts(Duration length);
  Task<bool> TryJoin();
  /** Reads the contacts, and the quarantined requests beside them.
      @returns whether the store answered */
  Task<bool> ListContacts();
  std::string Key() const;

  DaemonContext& context_;
  AsyncStore& store_;
  FleetAgent& fleet_;
  SuspectAgent& suspects_;
  LeaseId lease_ = kNoLease;
  /** Era of the store in which the lease was granted. */
  std::uint64_t era_ = 0;
  /** At least one contact has returned its full member table. */
  bool has_joined_ = false;
  /** The contacts as listed last. */
  std::vector<Contact> contacts_;
  MonoTime listed_at_;
};

}  // namespace cumin
