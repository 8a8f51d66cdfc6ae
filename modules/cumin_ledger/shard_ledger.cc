#include "cumin_ledger/shard_ledger.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cumin {

namespace {

constexpr std::size_t kMaxKeyBytes = 256;
constexpr Duration kRetryAfterInProgress = std::chrono::milliseconds(100);
constexpr Duration kRetryAfterNotOwned = std::chrono::seconds(1);
constexpr Duration kRetryAfterTableFull = std::chrono::seconds(10);

Refusal MayHaveRun(RefusalReason reason, const std::string& detail,
                   Duration retry_after = Duration(0)) {
  return Refusal{Verdict::kMayHaveRun, reason, detail, retry_after};
}

}  // namespace

ShardLedger::ShardLedger(const ShardId& shard, const VmId& self,
                         const LedgerOptions& options)
    : options_(options),
      key_window_(std::chrono::ceil<WallTime::duration>(options.key_window)),
      clock_margin_(
          std::chrono::ceil<WallTime::duration>(options.clock_margin)),
      keys_(options),
      ownership_(shard, self, options, this) {}

AttemptDecision ShardLedger::Begin(const Attempt& attempt,
                                   const LeaseTerm& term, MonoTime now,
                                   WallTime wall_now) {
  latest_wall_time_ = std::max(latest_wall_time_, wall_now);
  if (!IsOwned(term, now)) {
    return NotOwned(term);
  }
  if (std::optional<Refusal> refusal = ValidateAttempt(attempt)) {
    return *refusal;
  }
  keys_.RemoveExpired(latest_wall_time_);
  if (const KeyEntry* entry = keys_.Find(attempt.key)) {
    return DecideKnownKey(attempt, *entry);
  }
  if (std::optional<Refusal> refusal = CheckUnknownKey(attempt)) {
    return *refusal;
  }
  // The margin covers callers whose clock is ahead of this one.
  const WallTime expires_at = latest_wall_time_ + key_window_ + clock_margin_;
  const KeyEntry* entry = keys_.Insert(attempt, expires_at);
  if (entry == nullptr) {
    return NotRun(RefusalReason::kShed, "the shard's table of calls is full",
                  kRetryAfterTableFull);
  }
  return DispatchToken{attempt.key, ownership_.tenure()->record.epoch,
                       entry->serial, term.valid_until};
}

std::optional<Refusal> ShardLedger::ValidateAttempt(
    const Attempt& attempt) const {
  const std::string& key = attempt.key.key.str();
  if (key.empty()) {
    return NotRun(RefusalReason::kKeyRequired,
                  "the operation needs an idempotency key");
  }
  if (key.size() > kMaxKeyBytes) {
    return NotRun(RefusalReason::kBadRequest,
                  "the idempotency key is longer than 256 bytes");
  }
  if (attempt.first_sent &&
      *attempt.first_sent > latest_wall_time_ + clock_margin_) {
    return NotRun(RefusalReason::kBadRequest,
                  "the time of the first attempt is in the future");
  }
  return std::nullopt;
}

AttemptDecision ShardLedger::DecideKnownKey(const Attempt& attempt,
                                            const KeyEntry& entry) const {
  if (entry.request_hash != attempt.request_hash) {
    return NotRun(RefusalReason::kBadRequest,
                  "the idempotency key was used for another request");
  }
  switch (entry.state) {
    case KeyState::kAdmitted:
    case KeyState::kDispatched:
      return MayHaveRun(RefusalReason::kKeyInProgress,
                        "another attempt of the call is in progress",
                        kRetryAfterInProgress);
    case KeyState::kMayHaveRun:
      return MayHaveRun(RefusalReason::kKeyUncertain,
                        "the outcome of an earlier attempt is unknown");
    case KeyState::kRan:
      break;
  }
  if (!entry.answer) {
    return Refusal{Verdict::kRan, RefusalReason::kAnswerIncomplete,
                   "the call ran; its answer is not stored", Duration(0)};
  }
  return entry.answer;
}

std::optional<Refusal> ShardLedger::CheckUnknownKey(
    const Attempt& attempt) const {
  const WallTime known_since = ownership_.tenure()->record.known_since;
  const char* const lost =
      "a previous owner may have run the call; its keys were lost";
  if (!attempt.first_sent) {
    const bool is_known = known_since == WallTime{} ||
                          latest_wall_time_ >= known_since + key_window_;
    return is_known ? std::nullopt
                    : std::make_optional(
                          MayHaveRun(RefusalReason::kKeyUncertain, lost));
  }
  if (*attempt.first_sent < latest_wall_time_ - key_window_) {
    return MayHaveRun(RefusalReason::kKeyExpired,
                      "the call was first sent too long ago");
  }
  if (*attempt.first_sent < known_since) {
    return MayHaveRun(RefusalReason::kKeyUncertain, lost);
  }
  return std::nullopt;
}

std::optional<Refusal> ShardLedger::CheckDispatch(const DispatchToken& token,
                                                  const LeaseTerm& term,
                                                  MonoTime now) {
  KeyEntry* entry = FindAdmission(token);
  const bool is_owned =
      IsOwned(term, now) && ownership_.tenure()->record.epoch == token.epoch;
  if (entry != nullptr && entry->state == KeyState::kAdmitted && is_owned) {
    entry->state = KeyState::kDispatched;
    ++dispatched_;
    return std::nullopt;
  }
  if (entry != nullptr && entry->state == KeyState::kAdmitted) {
    keys_.Erase(*entry);
  }
  return NotOwned(term);
}

void ShardLedger::Finish(const DispatchToken& token, Verdict verdict,
                         StoredAnswerPtr answer) {
  KeyEntry* entry = FindAdmission(token);
  if (entry == nullptr) {
    return;
  }
  if (entry->state == KeyState::kDispatched) {
    --dispatched_;
  }
  switch (verdict) {
    case Verdict::kNotRun:
      keys_.Erase(*entry);
      break;
    case Verdict::kMayHaveRun:
      entry->state = KeyState::kMayHaveRun;
      break;
    case Verdict::kRan:
      keys_.SetRan(entry, std::move(answer));
      break;
  }
}

std::optional<KeyExport> ShardLedger::StopAndExport(WallTime wall_now) {
  if (!ownership_.tenure()) {
    return std::nullopt;
  }
  latest_wall_time_ = std::max(latest_wall_time_, wall_now);
  const ShardRecord record = ownership_.tenure()->record;
  ownership_.Release();
  keys_.EraseAdmitted();
  KeyExport exported;
  exported.shard = ownership_.shard();
  exported.epoch = record.epoch;
  exported.lease = record.lease;
  exported.known_since =
      std::max(record.known_since, latest_wall_time_ - key_window_);
  exported.keys = keys_.Export();
  return exported;
}

void ShardLedger::OnAcquired(const Tenure& tenure, const KeyExport* imported) {
  switch (tenure.history) {
    case KeyHistory::kKept:
      return;
    case KeyHistory::kFirstOwner:
    case KeyHistory::kLost:
      keys_.Clear();
      break;
    case KeyHistory::kImported:
      keys_.Import(imported->keys);
      break;
  }
  dispatched_ = 0;
}

void ShardLedger::OnLost() {
  keys_.Clear();
  dispatched_ = 0;
}

bool ShardLedger::IsOwned(const LeaseTerm& term, MonoTime now) const {
  const std::optional<Tenure>& tenure = ownership_.tenure();
  return tenure && tenure->record.lease == term.lease && term.IsValid(now);
}

Refusal ShardLedger::NotOwned(const LeaseTerm& term) const {
  if (ownership_.tenure() || term.lease.empty()) {
    return NotRun(RefusalReason::kLeaseUnavailable,
                  "the lease of the shard's owner can't be confirmed",
                  kRetryAfterNotOwned);
  }
  return NotRun(RefusalReason::kNotShardOwner,
                "this daemon doesn't own the call's shard",
                kRetryAfterNotOwned);
}

KeyEntry* ShardLedger::FindAdmission(const DispatchToken& token) {
  KeyEntry* entry = keys_.Find(token.key);
  const bool is_same = entry != nullptr && entry->serial == token.serial;
  return is_same ? entry : nullptr;
}

}  // namespace cumin
