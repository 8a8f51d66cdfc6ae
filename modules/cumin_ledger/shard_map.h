#pragma once

#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** Maps the idempotency keys of one service to shards, and shards to VMs.

    VMs are ranked per shard by rendezvous hashing, so a VM that joins or leaves
    moves only the shards for which it ranks first. The mapping is deterministic
    and the same on every VM.
*/
class ShardMap {
 public:
  /** @param service  the service
      @param shards   number of shards, at least 1
      @param members  the live VMs that run the service, in any order */
  ShardMap(ServiceId service, int shards, std::vector<VmId> members);

  ShardId ShardOf(const CallKey& key) const;

  /** @returns the VM that should acquire the shard when it has no owner; empty
      when the service has no members */
  VmId PreferredOwner(const ShardId& shard) const;

  /** @returns the members, the preferred owner first */
  std::vector<VmId> RankedOwners(const ShardId& shard) const;

  std::vector<ShardId> Shards() const;

 private:
  ServiceId service_;
  int shards_;
  std::vector<VmId> members_;
};

}  // namespace cumin
