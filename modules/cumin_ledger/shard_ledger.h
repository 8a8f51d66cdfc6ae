#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"
#include "cumin_core/verdict.h"
#include "cumin_ledger/key_export.h"
#include "cumin_ledger/key_table.h"
#include "cumin_ledger/ledger_types.h"
#include "cumin_ledger/owner_lease.h"
#include "cumin_ledger/shard_ownership.h"

namespace cumin {

/** Allows one attempt to be dispatched once. */
struct DispatchToken {
  CallKey key;
  /** The epoch of the owner that gave it. */
  std::uint64_t epoch = 0;
  /** The admission of the key. */
  std::uint64_t serial = 0;
  /** The owner's lease at the admission; a dispatch is refused from here on
      unless the lease was renewed since. */
  MonoTime dispatch_before{};
};

/** What to do with an attempt: dispatch it, give a kept answer again, or refuse
    it. A refusal that found an earlier attempt of the call, or can't exclude
    one, is kMayHaveRun; kNotRun says that this attempt was not handed over. */
using AttemptDecision = std::variant<DispatchToken, StoredAnswerPtr, Refusal>;

/** Lets each non-idempotent call of one shard run at most once.

    An attempt goes through Begin(), CheckDispatch() right before it is handed
    to the target, and Finish(). Between Begin() and CheckDispatch() it may wait
    for a slot.

    A process may be paused between CheckDispatch() and the hand-over to the
    target for so long that another daemon owns the shard when it wakes. The
    call then still runs once only: it was first sent before the lease ended,
    and the new owner runs no call first sent before that.
*/
class ShardLedger final : private ShardOwnership::Listener {
 public:
  /** @param shard    the shard
      @param self     this daemon's VM
      @param options  limits and times, the same on every VM */
  ShardLedger(const ShardId& shard, const VmId& self,
              const LedgerOptions& options);
  ShardLedger(const ShardLedger&) = delete;
  ShardLedger& operator=(const ShardLedger&) = delete;

  /** @returns the acquisition of the shard, to be driven by the caller */
  ShardOwnership& ownership() { return ownership_; }
  const ShardOwnership& ownership() const { return ownership_; }

  /** Decides about an attempt.
      @param attempt   the attempt
      @param term      this daemon's lease
      @param now       the time
      @param wall_now  the time of day
      @returns the decision; after a token, CheckDispatch() or Finish() must
      follow */
  AttemptDecision Begin(const Attempt& attempt, const LeaseTerm& term,
                        MonoTime now, WallTime wall_now);

  /** Checks that an admitted attempt may be handed to a target at this moment.
      @param token  from Begin()
      @param term   this daemon's lease
      @param now    the time
      @returns nothing when it may, and Finish() must follow; else the refusal,
      which is kNotRun and frees the key */
  std::optional<Refusal> CheckDispatch(const DispatchToken& token,
                                       const LeaseTerm& term, MonoTime now);

  /** Records how an attempt ended.
      @param token    from Begin()
      @param verdict  kNotRun frees the key for a resend
      @param answer   the whole answer with kRan; null to keep none */
  void Finish(const DispatchToken& token, Verdict verdict,
              StoredAnswerPtr answer);

  /** Stops for good and gives up the shard's memory for its successor. Attempts
      that are not dispatched yet will be refused as kNotRun; those under way
      are handed over as may-have-run.
      @param wall_now  the time of day
      @returns the keys; absent when this daemon doesn't own the shard */
  std::optional<KeyExport> StopAndExport(WallTime wall_now);

  /** @returns whether attempts are dispatched and not finished */
  bool HasWorkUnderWay() const { return under_way_ > 0; }

  /** @returns how many calls are remembered */
  std::size_t remembered() const { return keys_.size(); }

 private:
  void OnAcquired(const Tenure& tenure, const KeyExport* imported) override;
  void OnLost() override;

  bool IsOwned(const LeaseTerm& term, MonoTime now) const;
  Refusal NotOwned(const LeaseTerm& term) const;
  std::optional<Refusal> CheckForm(const Attempt& attempt) const;
  AttemptDecision DecideKnown(const Attempt& attempt,
                              const KeyEntry& entry) const;
  std::optional<Refusal> CheckUnknown(const Attempt& attempt) const;
  KeyEntry* FindAdmission(const DispatchToken& token);

  LedgerOptions options_;
  // In the wall clock's resolution.
  WallTime::duration key_window_;
  WallTime::duration clock_margin_;
  // Never steps back, so that a forgotten key stays expired.
  WallTime wall_floor_{};
  int under_way_ = 0;
  KeyTable keys_;
  ShardOwnership ownership_;
};

}  // namespace cumin
