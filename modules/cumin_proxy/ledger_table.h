#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_ledger/cumin_ledger.h"

namespace cumin {

/** The shards of idempotency keys that this daemon may own, with the lease that
    covers them; call paths and the ledger's controller share it.

    Thread-safe: one mutex guards everything and is held for decisions only,
    never across I/O. The clock is read under it.
*/
class LedgerTable {
 public:
  /** @param self    this daemon's VM
      @param clock   outlives this object
      @param random  outlives this object
      @param lease   times of the daemon's lease */
  LedgerTable(VmId self, const Clock& clock, Random& random,
              const LeaseOptions& lease);

  /** @see ShardLedger::Begin; kNotShardOwner for a shard that isn't open */
  AttemptDecision Begin(const ShardId& shard, const Attempt& attempt);

  /** @see ShardLedger::CheckDispatch */
  std::optional<Refusal> CheckDispatch(const ShardId& shard,
                                       const DispatchToken& token);

  /** @see ShardLedger::Finish */
  void Finish(const ShardId& shard, const DispatchToken& token, Verdict verdict,
              StoredAnswerPtr answer);

  /** @returns the owner as last read from the store; empty when unknown or when
      this table is closed */
  VmId LastOwner(const ShardId& shard) const;

  /** Makes a shard known here, so that it can be acquired.
      @param options  used when the shard wasn't open */
  void Open(const ShardId& shard, const LedgerOptions& options);

  /** @returns the shards that are open */
  std::vector<ShardId> Shards() const;

  /** @returns whether this daemon owns the shard or would keep its keys when it
      acquired it again, or has its keys from the last owner */
  bool HoldsKeys(const ShardId& shard) const;

  /** @see OwnerLease::Next */
  LeaseStep NextLeaseStep();
  /** @see OwnerLease::OnAnswer */
  void OnLeaseAnswer(const LeaseStep& step, const Result<StoreEntry>& answer);
  /** @returns this daemon's lease; the name is empty when it has none */
  LeaseTerm term() const;

  /** @see ShardOwnership::Next */
  StoreCall NextShardCall(const ShardId& shard);
  /** @see ShardOwnership::OnAnswer */
  void OnShardAnswer(const ShardId& shard, const Result<StoreEntry>& answer);

  /** Refuses new attempts of every shard from now on; those under way go on. */
  void Close();

  /** @returns whether attempts are dispatched and not finished */
  bool HasWorkUnderWay() const;

  /** @see ShardLedger::StopAndExport */
  std::optional<KeyExport> Export(const ShardId& shard);

  /** @see ShardOwnership::OnHandover
      @returns false when the shard isn't open here or the table is closed */
  bool Import(KeyExport keys);

 private:
  struct Shard {
    std::unique_ptr<ShardLedger> ledger;
    bool has_handover = false;
  };

  Shard* Find(const ShardId& shard);
  const Shard* Find(const ShardId& shard) const;

  const VmId self_;
  const Clock& clock_;
  Random& random_;
  mutable std::mutex mutex_;
  OwnerLease lease_;
  std::map<ShardId, Shard> shards_;
  bool is_closed_ = false;
};

}  // namespace cumin
