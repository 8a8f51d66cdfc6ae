#include "cumin_ledger/shard_ownership.h"

#include <utility>

namespace cumin {

namespace {

constexpr Duration kRetryInterval = std::chrono::seconds(1);
constexpr WallTime kSinceEver{};

}  // namespace

ShardOwnership::ShardOwnership(ShardId shard, VmId self,
                               const LedgerOptions& options, Listener* listener)
    : shard_(std::move(shard)),
      self_(std::move(self)),
      options_(options),
      listener_(listener) {}

ShardStep ShardOwnership::Next(const LeaseTerm& term, MonoTime now) {
  const bool is_owned = tenure_ && tenure_->record.lease == term.lease;
  const bool is_idle = is_owned || in_flight_ || released_ || now < retry_at_;
  if (is_idle || !term.IsValid(now)) {
    return ShardStep{};
  }
  if (lease_ != term.lease) {
    // Plans made for an earlier lease are void.
    lease_ = term.lease;
    plan_.reset();
    stage_ = Stage::kReadRecord;
  }
  in_flight_ = true;
  asked_at_ = now;
  switch (stage_) {
    case Stage::kReadRecord:
      return ShardStep{ShardStepKind::kReadRecord, ShardKey(shard_), "", 0};
    case Stage::kReadLease:
      return ShardStep{ShardStepKind::kReadLease, LeaseKey(record_->lease), "",
                       0};
    case Stage::kWriteRecord:
      return ShardStep{ShardStepKind::kWriteRecord, ShardKey(shard_),
                       ToText(plan_->record), record_index_};
  }
  return ShardStep{};
}

void ShardOwnership::OnRecord(const Result<StoreEntry>& answer,
                              WallTime wall_now) {
  in_flight_ = false;
  if (!answer && answer.error().code == ErrorCode::kNotFound) {
    OnAbsentRecord(wall_now);
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
    Plan(KeyMemory::kKept, tenure_->record.known_since);
    return;
  }
  Lose();
  if (IsHandedOver()) {
    Plan(KeyMemory::kImported, handover_->known_since);
    return;
  }
  stage_ = Stage::kReadLease;
}

void ShardOwnership::OnAbsentRecord(WallTime wall_now) {
  record_index_ = kAbsentIndex;
  if (!record_) {
    Plan(KeyMemory::kNoneBefore, kSinceEver);
    return;
  }
  // The store lost a record that this process has seen.
  Lose();
  PlanWithoutKeys(wall_now);
}

void ShardOwnership::PlanWithoutKeys(WallTime wall_now) {
  // No call first sent after this time, by a clock within the margin, can have
  // been dispatched by an owner whose lease ended before.
  const auto margin =
      std::chrono::ceil<WallTime::duration>(options_.clock_margin);
  Plan(KeyMemory::kLost, wall_now + margin);
}

void ShardOwnership::OnLease(const Result<StoreEntry>& answer,
                             WallTime wall_now) {
  in_flight_ = false;
  stage_ = Stage::kReadRecord;
  if (!answer && answer.error().code == ErrorCode::kNotFound) {
    PlanWithoutKeys(wall_now);
    return;
  }
  RetryLater();
}

void ShardOwnership::OnWritten(const Result<void>& answer) {
  in_flight_ = false;
  stage_ = Stage::kReadRecord;
  if (answer) {
    Acquire();
    return;
  }
  if (answer.error().code != ErrorCode::kConflict) {
    RetryLater();
  }
}

void ShardOwnership::OnHandover(KeyExport handover) {
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

void ShardOwnership::Plan(KeyMemory memory, WallTime known_since) {
  const std::uint64_t last_epoch = record_ ? record_->epoch : 0;
  plan_ =
      Tenure{ShardRecord{self_, lease_, last_epoch + 1, known_since}, memory};
  stage_ = Stage::kWriteRecord;
}

void ShardOwnership::Acquire() {
  record_ = plan_->record;
  tenure_ = plan_;
  plan_.reset();
  const bool is_imported = tenure_->memory == KeyMemory::kImported;
  const std::optional<KeyExport> imported =
      is_imported ? std::move(handover_) : std::nullopt;
  handover_.reset();
  listener_->OnAcquired(*tenure_, imported ? &*imported : nullptr);
}

void ShardOwnership::Lose() {
  if (!tenure_) {
    return;
  }
  tenure_.reset();
  listener_->OnLost();
}

void ShardOwnership::RetryLater() { retry_at_ = asked_at_ + kRetryInterval; }

bool ShardOwnership::IsOwnRecord() const {
  return tenure_ && tenure_->record.epoch == record_->epoch &&
         tenure_->record.lease == record_->lease;
}

bool ShardOwnership::IsWrittenPlan() const {
  return plan_ && plan_->record.epoch == record_->epoch &&
         plan_->record.lease == record_->lease;
}

bool ShardOwnership::IsHandedOver() const {
  return handover_ && handover_->epoch == record_->epoch &&
         handover_->lease == record_->lease;
}

}  // namespace cumin
