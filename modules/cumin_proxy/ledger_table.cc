#include "cumin_proxy/ledger_table.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

constexpr Duration kRetryElsewhere = std::chrono::seconds(1);

Refusal NotOwner() {
  return Refusal{Verdict::kNotRun, RefusalReason::kNotShardOwner,
                 "this daemon doesn't own the call's shard", kRetryElsewhere};
}

}  // namespace

LedgerTable::LedgerTable(VmId self, const Clock& clock, Random& random,
                         const LeaseOptions& lease)
    : self_(std::move(self)), clock_(clock), random_(random), lease_(lease) {}

AttemptDecision LedgerTable::Begin(const ShardId& shard,
                                   const Attempt& attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard* const found = Find(shard);
  if (found == nullptr || is_closed_) {
    return NotOwner();
  }
  return found->ledger->Begin(attempt, lease_.term(), clock_.Now(),
                              clock_.WallNow());
}

std::optional<Refusal> LedgerTable::CheckDispatch(const ShardId& shard,
                                                  const DispatchToken& token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard* const found = Find(shard);
  if (found == nullptr) {
    return NotOwner();
  }
  return found->ledger->CheckDispatch(token, lease_.term(), clock_.Now());
}

void LedgerTable::Finish(const ShardId& shard, const DispatchToken& token,
                         Verdict verdict, StoredAnswerPtr answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Shard* const found = Find(shard)) {
    found->ledger->Finish(token, verdict, std::move(answer));
  }
}

VmId LedgerTable::LastOwner(const ShardId& shard) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Shard* const found = Find(shard);
  const bool is_known = found != nullptr && !is_closed_ &&
                        found->ledger->ownership().last_record();
  if (!is_known) {
    return VmId();
  }
  return found->ledger->ownership().last_record()->owner;
}

void LedgerTable::Open(const ShardId& shard, const LedgerOptions& options) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard& opened = shards_[shard];
  if (!opened.ledger) {
    opened.ledger = std::make_unique<ShardLedger>(shard, self_, options);
  }
}

std::vector<ShardId> LedgerTable::Shards() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<ShardId> all;
  all.reserve(shards_.size());
  for (const auto& it : shards_) {
    all.push_back(it.first);
  }
  return all;
}

bool LedgerTable::HoldsKeys(const ShardId& shard) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Shard* const found = Find(shard);
  return found != nullptr &&
         (found->has_handover || found->ledger->ownership().tenure());
}

LeaseStep LedgerTable::NextLeaseStep() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lease_.Next(clock_.Now(), random_);
}

void LedgerTable::OnLeaseAnswer(const LeaseStep& step,
                                const Result<StoreEntry>& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lease_.OnAnswer(step, answer);
}

LeaseTerm LedgerTable::term() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lease_.term();
}

StoreCall LedgerTable::NextShardCall(const ShardId& shard) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard* const found = Find(shard);
  if (found == nullptr || is_closed_) {
    return StoreCall{};
  }
  return found->ledger->ownership().Next(lease_.term(), clock_.Now());
}

void LedgerTable::OnShardAnswer(const ShardId& shard,
                                const Result<StoreEntry>& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Shard* const found = Find(shard)) {
    found->ledger->ownership().OnAnswer(answer, clock_.WallNow());
    found->has_handover =
        found->has_handover && !found->ledger->ownership().tenure();
  }
}

void LedgerTable::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_closed_ = true;
}

bool LedgerTable::HasWorkUnderWay() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& it) {
    return it.second.ledger->HasWorkUnderWay();
  });
}

std::optional<KeyExport> LedgerTable::Export(const ShardId& shard) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard* const found = Find(shard);
  return found == nullptr ? std::nullopt
                          : found->ledger->StopAndExport(clock_.WallNow());
}

bool LedgerTable::Import(KeyExport keys) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shard* const found = Find(keys.shard);
  if (found == nullptr || is_closed_) {
    return false;
  }
  found->has_handover = true;
  found->ledger->ownership().OnHandover(std::move(keys));
  return true;
}

LedgerTable::Shard* LedgerTable::Find(const ShardId& shard) {
  const auto it = shards_.find(shard);
  return it == shards_.end() ? nullptr : &it->second;
}

const LedgerTable::Shard* LedgerTable::Find(const ShardId& shard) const {
  const auto it = shards_.find(shard);
  return it == shards_.end() ? nullptr : &it->second;
}

}  // namespace cumin
