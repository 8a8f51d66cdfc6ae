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

/** Permission to dispatch one attempt once. */
struct DispatchToken {
  CallKey key;
  /** The epoch of the owner that issued it. */
  std::uint64_t epoch = 0;
  /** KeyEntry::serial of the admitted key. */
  std::uint64_t serial = 0;
  /** End of the owner's lease at admission; from then on a dispatch is refused
      unless the lease has been renewed. */
  MonoTime dispatch_before{};
};

/** What to do with an attempt: dispatch it, replay a stored answer, or refuse
    it. A refusal has Verdict::kMayHaveRun when an earlier attempt of the call
    is known or can't be ruled out; kNotRun says that this attempt was not
    dispatched. */
using AttemptDecision = std::variant<DispatchToken, StoredAnswerPtr, Refusal>;

/** Ensures that each non-idempotent call of one shard runs at most once.

    An attempt goes through Begin(), CheckDispatch() immediately before it is
    dispatched to the target, and Finish(). Between Begin() and CheckDispatch()
    it may wait for a slot.

    A process may be paused between CheckDispatch() and the actual dispatch for
    so long that another daemon owns the shard when it resumes. The call still
    runs only once: it was first sent before the lease ended, and the new owner
    runs no call first sent before that.
*/
class ShardLedger final : private ShardOwnership::Listener {
 public:
  /** @param self     this daemon's VM
      @param options  must be the same on every VM */
  ShardLedger(const ShardId& shard, const VmId& self,
              const LedgerOptions& options);
  ShardLedger(const ShardLedger&) = delete;
  ShardLedger& operator=(const ShardLedger&) = delete;

  /** @returns the shard's acquisition; the caller makes its store calls */
  ShardOwnership& ownership() { return ownership_; }
  const ShardOwnership& ownership() const { return ownership_; }

  /** Admits an attempt, replays a stored answer or refuses.
      @param attempt   the attempt
      @param term      this daemon's lease
      @param now       the monotonic time
      @param wall_now  the wall-clock time
      @returns the decision; a token must be passed to CheckDispatch() or
      Finish() */
  AttemptDecision Begin(const Attempt& attempt, const LeaseTerm& term,
                        MonoTime now, WallTime wall_now);

  /** Checks that an admitted attempt may be dispatched to a target now.
      @param token  from Begin()
      @param term   this daemon's lease
      @param now    the monotonic time
      @returns nullopt when it may, after which Finish() must be called; else a
      kNotRun refusal, which releases the key */
  std::optional<Refusal> CheckDispatch(const DispatchToken& token,
                                       const LeaseTerm& term, MonoTime now);

  /** Records the outcome of an attempt.
      @param token    from Begin()
      @param verdict  kNotRun releases the key for a resend
      @param answer   with kRan, the complete answer; null to store none */
  void Finish(const DispatchToken& token, Verdict verdict,
              StoredAnswerPtr answer);

  /** Releases the shard and exports its keys for the successor. Attempts that
      are not yet dispatched will be refused as kNotRun; dispatched ones are
      exported as may-have-run.
      @param wall_now  the wall-clock time
      @returns the keys; nullopt when this daemon doesn't own the shard */
  std::optional<KeyExport> StopAndExport(WallTime wall_now);

  bool HasWorkUnderWay() const { return dispatched_ > 0; }

  /** @returns the number of keys */
  std::size_t key_count() const { return keys_.size(); }

 private:
  void OnAcquired(const Tenure& tenure, const KeyExport* imported) override;
  void OnLost() override;

  bool IsOwned(const LeaseTerm& term, MonoTime now) const;
  Refusal NotOwned(const LeaseTerm& term) const;
  std::optional<Refusal> ValidateAttempt(const Attempt& attempt) const;
  AttemptDecision DecideKnownKey(const Attempt& attempt,
                                 const KeyEntry& entry) const;
  std::optional<Refusal> CheckUnknownKey(const Attempt& attempt) const;
  KeyEntry* FindAdmission(const DispatchToken& token);

  LedgerOptions options_;
  // Rounded up to the wall clock's resolution.
  WallTime::duration key_window_;
  WallTime::duration clock_margin_;
  // Latest wall-clock time seen. It never decreases, so that a call whose key
  // was removed stays expired when the clock is set back.
  WallTime latest_wall_time_{};
  int dispatched_ = 0;
  KeyTable keys_;
  ShardOwnership ownership_;
};

}  // namespace cumin
