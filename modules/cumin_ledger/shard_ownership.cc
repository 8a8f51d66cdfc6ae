#include "cumin_ledger/shard_ownership.h"

#include <utility>

namespace cumin {

namespace {

constexpr Duration kRetryInterval = std::chrono::seconds(1);
constexpr WallTime kUnixEpoch{};

}  // namespace

ShardOwnership::ShardOwnership(ShardId shard, VmId self,
                               const LedgerOptions& options, Listener* listener)
    : shard_(std::move(shard)),
      self_(std::move(self)),
      options_(options),
      listener_(listener) {}

StoreCall ShardOwnership::Next(const LeaseTerm& term, MonoTime now) {
  const bool is_owned = tenure_ && tenure_->record.lease == term.lease;
  const bool is_idle = is_owned || in_flight_ || released_ || now < retry_at_;
  if (is_idle || !term.IsValid(now)) {
    return StoreCall{};
  }
  if (lease_ != term.lease) {
    // A plan made with an earlier lease is invalid.
    lease_ = term.lease;
    plan_.reset();
    stage_ = Stage::kReadRecord;
  }
  in_flight_ = true;
  requested_at_ = now;
  return MakeCall();
}

StoreCall ShardOwnership::MakeCall() const {
  StoreCall call;
  call.kind = StoreCallKind::kGet;
  call.key = ShardKey(shard_);
  switch (stage_) {
    case Stage::kReadRecord:
      break;
    case Stage::kReadLease:
      call.key = LeaseKey(record_->lease);
      break;
    case Stage::kWriteRecord:
      // Not attached to a lease, since the record must outlive its owner.
      call.kind = StoreCallKind::kCompareAndSwap;
      call.value = ToText(plan_->record);
      call.expected = record_index_;
      break;
  }
  return call;
}

void ShardOwnership::OnAnswer(const Result<StoreEntry>& answer,
                              WallTime wall_now) {
  in_flight_ = false;
  if (released_) {
    stage_ = Stage::kReadRecord;
    return;
  }
  switch (stage_) {
    case Stage::kReadRecord:
      OnRecordRead(answer, wall_now);
      break;
    case Stage::kReadLease:
      OnLeaseRead(answer, wall_now);
      break;
    case Stage::kWriteRecord:
      OnRecordWritten(answer);
      break;
  }
}

void ShardOwnership::OnRecordRead(const Result<StoreEntry>& answer,
                                  WallTime wall_now) {
  if (!answer && answer.error().code == ErrorCode::kNotFound) {
    OnRecordAbsent(wall_now);
    return;
  }
  if (!answer) {
    RetryLater();
    return;
  }
  const Result<ShardRecord> record =
      ParseShardRecord(answer.value().value, answer.value().key);
  if (!record) {
    RetryLater();
    return;
  }
  record_ = record.value();
  record_index_ = answer.value().modify_index;
  if (IsWrittenPlan()) {
    Acquire();
    return;
  }
  if (IsOwnRecord()) {
    Plan(KeyHistory::kKept, tenure_->record.known_since);
    return;
  }
  LoseOwnership();
  if (HasMatchingHandover()) {
    Plan(KeyHistory::kImported, handover_->known_since);
    return;
  }
  stage_ = Stage::kReadLease;
}

void ShardOwnership::OnRecordAbsent(WallTime wall_now) {
  record_index_ = kAbsentIndex;
  if (!record_) {
    Plan(KeyHistory::kFirstOwner, kUnixEpoch);
    return;
  }
  // The store lost a record that this process had read.
  LoseOwnership();
  PlanWithLostKeys(wall_now);
}

void ShardOwnership::PlanWithLostKeys(WallTime wall_now) {
  // Given the maximum clock difference, no call first sent after this time can
  // have been dispatched by an owner whose lease has ended.
  const auto margin =
      std::chrono::ceil<WallTime::duration>(options_.clock_margin);
  Plan(KeyHistory::kLost, wall_now + margin);
}

void ShardOwnership::OnLeaseRead(const Result<StoreEntry>& answer,
                                 WallTime wall_now) {
  stage_ = Stage::kReadRecord;
  if (!answer && answer.error().code == ErrorCode::kNotFound) {
    PlanWithLostKeys(wall_now);
    return;
  }
  RetryLater();
}

void ShardOwnership::OnRecordWritten(const Result<StoreEntry>& answer) {
  // Unless the shard is acquired now, the record is read again; this also shows
  // whether a write of unknown outcome took effect.
  stage_ = Stage::kReadRecord;
  const bool is_conflict =
      !answer && answer.error().code == ErrorCode::kConflict;
  // plan_ is the ownership to acquire; Release() clears it. After a conflict,
  // where the record has changed, it is read again without delay.
  if (answer && plan_) {
    Acquire();
  } else if (!is_conflict) {
    RetryLater();
  }
}

void ShardOwnership::OnHandover(KeyExport handover) {
  if (handover_ && handover_->epoch >= handover.epoch) {
    return;  // Delayed or duplicate.
  }
  released_ = false;
  handover_ = std::move(handover);
  retry_at_ = MonoTime{};
  if (!in_flight_) {
    stage_ = Stage::kReadRecord;
  }
}

void ShardOwnership::Release() {
  released_ = true;
  tenure_.reset();
  plan_.reset();
}

void ShardOwnership::Plan(KeyHistory history, WallTime known_since) {
  const std::uint64_t last_epoch = record_ ? record_->epoch : 0;
  plan_ =
      Tenure{ShardRecord{self_, lease_, last_epoch + 1, known_since}, history};
  // A hand-over that arrives while the record is being written must not replace
  // the one that the plan was made for.
  const bool is_imported = history == KeyHistory::kImported;
  planned_handover_ = is_imported ? handover_ : std::nullopt;
  stage_ = Stage::kWriteRecord;
}

void ShardOwnership::Acquire() {
  record_ = plan_->record;
  tenure_ = plan_;
  plan_.reset();
  const std::optional<KeyExport> imported = std::move(planned_handover_);
  planned_handover_.reset();
  handover_.reset();
  listener_->OnAcquired(*tenure_, imported ? &*imported : nullptr);
}

void ShardOwnership::LoseOwnership() {
  if (!tenure_) {
    return;
  }
  tenure_.reset();
  listener_->OnLost();
}

void ShardOwnership::RetryLater() {
  retry_at_ = requested_at_ + kRetryInterval;
}

bool ShardOwnership::IsOwnRecord() const {
  return tenure_ && tenure_->record.epoch == record_->epoch &&
         tenure_->record.lease == record_->lease;
}

bool ShardOwnership::IsWrittenPlan() const {
  return plan_ && plan_->record.epoch == record_->epoch &&
         plan_->record.lease == record_->lease;
}

bool ShardOwnership::HasMatchingHandover() const {
  return handover_ && handover_->epoch == record_->epoch &&
         handover_->lease == record_->lease;
}

}  // namespace cumin
