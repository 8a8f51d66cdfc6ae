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

/** What a new owner remembers of the calls before it. */
enum class KeyMemory {
  /** Nobody owned the shard before. */
  kNoneBefore,
  /** This process owned it last and nobody since. */
  kKept,
  /** The last owner stopped and handed its keys over. */
  kImported,
  /** The last owner's lease ended and its keys are lost. */
  kLost,
};

/** One unbroken ownership of a shard. */
struct Tenure {
  ShardRecord record;
  KeyMemory memory = KeyMemory::kLost;
};

/** Acquires one shard for this process and keeps it across lost answers.

    Call Next(), make the store call, pass its result back. A write with an
    unknown outcome is settled by reading the record; a write that takes effect
    even later is recognised by its lease and epoch.
*/
class ShardOwnership {
 public:
  /** Hears of changes of the ownership. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** The shard is owned from now on.
        @param tenure    the ownership
        @param imported  the previous owner's keys with KeyMemory::kImported,
                         else null */
    virtual void OnAcquired(const Tenure& tenure,
                            const KeyExport* imported) = 0;

    /** Another process owns the shard. */
    virtual void OnLost() = 0;
  };

  /** @param shard     the shard
      @param self      this daemon's VM
      @param options   the clock margin is used
      @param listener  outlives this object */
  ShardOwnership(ShardId shard, VmId self, const LedgerOptions& options,
                 Listener* listener);

  /** @param term  this daemon's lease; nothing is asked without a valid one
      @param now   the time
      @returns the store call to make now; kNone when the shard is owned, none
      is due or one is under way */
  StoreCall Next(const LeaseTerm& term, MonoTime now);

  /** Takes in the result of the store call that Next() asked for.
      @param answer    what ExecuteStoreCall() returned
      @param wall_now  the time of day after the result came */
  void OnAnswer(const Result<StoreEntry>& answer, WallTime wall_now);

  /** Takes in the keys of an owner that stopped; the shard is then acquired
      unless somebody else did since. */
  void OnHandover(KeyExport handover);

  /** Gives the shard up for good, before its keys are handed over. */
  void Release();

  /** @returns the shard */
  const ShardId& shard() const { return shard_; }

  /** @returns the record of the last known owner, which may be this daemon */
  const std::optional<ShardRecord>& last_record() const { return record_; }

  /** @returns the ownership; absent when not owned. It holds only together with
      a valid term of the same lease. */
  const std::optional<Tenure>& tenure() const { return tenure_; }

 private:
  enum class Stage { kReadRecord, kReadLease, kWriteRecord };

  StoreCall MakeCall() const;
  void OnRecord(const Result<StoreEntry>& answer, WallTime wall_now);
  void OnLease(const Result<StoreEntry>& answer, WallTime wall_now);
  void OnWritten(const Result<StoreEntry>& answer);
  void OnAbsentRecord(WallTime wall_now);
  void PlanWithoutKeys(WallTime wall_now);
  void Plan(KeyMemory memory, WallTime known_since);
  void Acquire();
  void Lose();
  void RetryLater();
  bool IsOwnRecord() const;
  bool IsWrittenPlan() const;
  bool IsHandedOver() const;

  ShardId shard_;
  VmId self_;
  LedgerOptions options_;
  Listener* listener_;
  Stage stage_ = Stage::kReadRecord;
  bool in_flight_ = false;
  bool released_ = false;
  MonoTime asked_at_{};
  MonoTime retry_at_{};
  // The lease that the step under way was planned with.
  std::string lease_;
  std::optional<ShardRecord> record_;
  std::uint64_t record_index_ = kAbsentIndex;
  std::optional<Tenure> plan_;
  std::optional<Tenure> tenure_;
  std::optional<KeyExport> handover_;
  // The keys that plan_ is made for.
  std::optional<KeyExport> planned_handover_;
};

}  // namespace cumin
