#pragma once

#include <string>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Keeps this daemon's address in the store, under a lease, and finds the other
    daemons there.

    The store is asked to find a first contact only; the members come from the
    daemons. An entry that lapsed while the store was away is written again as
    soon as a renewal says so.
*/
class PeerDiscovery {
 public:
  /** All arguments outlive this. */
  PeerDiscovery(DaemonContext& board, AsyncStore& store, FleetAgent& fleet);

  /** Starts to keep the entry. */
  void Start();

  /** Ends the lease. */
  Task<void> Withdraw();

 private:
  Task<void> KeepForever();
  Task<void> JoinForever();
  Task<bool> WriteEntry();
  Task<bool> JoinOnce();
  std::string Key() const;

  DaemonContext& board_;
  AsyncStore& store_;
  FleetAgent& fleet_;
  LeaseId lease_ = kNoLease;
  /** A contact has told this daemon all the members that it knows. */
  bool has_joined_ = false;
};

}  // namespace cumin
