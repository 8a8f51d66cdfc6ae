#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"
#include "cumin_ledger/key_export.h"
#include "cumin_ledger/ledger_types.h"
#include "cumin_ledger/owner_lease.h"
#include "cumin_ledger/shard_record.h"
#include "cumin_store/store_call.h"

namespace cumin {

/** What a new owner knows about calls made before it acquired the shard. */
enum class KeyHistory {
  /** The shard had no owner before. */
  kFirstOwner,
  /** This process was the last owner and still has the keys. */
  kKept,
  /** The last owner stopped and sent its keys. */
  kImported,
  /** The last owner's lease ended and its keys were lost. */
  kLost,
};

/** One period of ownership of a shard. */
struct Tenure {
  ShardRecord record;
  KeyHistory history = KeyHistory::kLost;
};

/** State machine that acquires one shard for this process.

    Call Next(), make the store call, pass the result to OnAnswer(). When the
    outcome of a write is unknown, the record is read again; a write that takes
    effect even later is recognised by its lease and epoch.
*/
class ShardOwnership {
 public:
  /** Receives changes of the ownership. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** Called when this process has acquired the shard.
        @param tenure    the ownership
        @param imported  the previous owner's keys with KeyHistory::kImported,
                         else null */
    virtual void OnAcquired(const Tenure& tenure,
                            const KeyExport* imported) = 0;

    /** Called when the shard's record no longer names this ownership. */
    virtual void OnLost() = 0;
  };

  /** @param shard     the shard
      @param self      this daemon's VM
      @param options   only `clock_margin` is used
      @param listener  must outlive this object */
  ShardOwnership(ShardId shard, VmId self, const LedgerOptions& options,
                 Listener* listener);

  /** Returns the next store call to make.
      @param term  this daemon's lease; without a valid one no call is made
      @param now   the monotonic time
      @returns the call; kNone when the shard is owned, none is due or one is in
      progress */
  StoreCall Next(const LeaseTerm& term, MonoTime now);

  /** Processes the result of the store call that Next() returned.
      @param answer    the result of ExecuteStoreCall()
      @param wall_now  the wall-clock time after the result arrived */
  void OnAnswer(const Result<StoreEntry>& answer, WallTime wall_now);

  /** Accepts the keys of an owner that stopped; the shard is then acquired
      unless another process has acquired it in the meantime. */
  void OnHandover(KeyExport handover);

  /** Releases the shard before its keys are handed over. Only a newer hand-over
      makes this process acquire it again. */
  void Release();

  const ShardId& shard() const { return shard_; }

  /** @returns the record of the last known owner, which may be this daemon */
  const std::optional<ShardRecord>& last_record() const { return record_; }

  /** @returns the ownership; nullopt when not owned. It is valid only while
     this daemon has a valid term of the same lease. */
  const std::optional<Tenure>& tenure() const { return tenure_; }

 private:
  enum class Stage { kReadRecord, kReadLease, kWriteRecord };

  StoreCall MakeCall() const;
  void OnRecordRead(const Result<StoreEntry>& answer, WallTime wall_now);
  void OnLeaseRead(const Result<StoreEntry>& answer, WallTime wall_now);
  void OnRecordWritten(const Result<StoreEntry>& answer);
  void OnRecordAbsent(WallTime wall_now);
  void PlanWithLostKeys(WallTime wall_now);
  void Plan(KeyHistory history, WallTime known_since);
  void Acquire();
  void LoseOwnership();
  void RetryLater();
  bool IsOwnRecord() const;
  bool IsWrittenPlan() const;
  bool HasMatchingHandover() const;

  ShardId shard_;
  VmId self_;
  LedgerOptions options_;
  Listener* listener_;
  Stage stage_ = Stage::kReadRecord;
  bool in_flight_ = false;
  bool released_ = false;
  MonoTime requested_at_{};
  MonoTime retry_at_{};
  // The lease that the current step was planned with.
  std::string lease_;
  std::optional<ShardRecord> record_;
  std::uint64_t record_index_ = kAbsentIndex;
  std::optional<Tenure> plan_;
  std::optional<Tenure> tenure_;
  std::optional<KeyExport> handover_;
  // The hand-over that plan_ was made for.
  std::optional<KeyExport> planned_handover_;
};

}  // namespace cumin
