#pragma once

#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** Places the idempotency keys of one service on shards, and shards on VMs.

    Shards rank VMs by rendezvous hashing, so a VM that joins or leaves moves
    only the shards for which it ranks first. Equal inputs give equal placements
    on every VM.
*/
class ShardMap {
 public:
  /** @param service  the service
      @param shards   how many shards its keys are split into, at least 1
      @param members  the live VMs that carry the service, in any order */
  ShardMap(ServiceId service, int shards, std::vector<VmId> members);

  /** @returns the shard of a call */
  ShardId ShardOf(const CallKey& key) const;

  /** @returns the VM that should own the shard when nobody does; empty when the
      service has no member */
  VmId PreferredOwner(const ShardId& shard) const;

  /** @returns the members, the preferred owner first */
  std::vector<VmId> RankedOwners(const ShardId& shard) const;

  /** @returns every shard of the service */
  std::vector<ShardId> Shards() const;

 private:
  ServiceId service_;
  int shards_;
  std::vector<VmId> members_;
};

}  // namespace cumin
