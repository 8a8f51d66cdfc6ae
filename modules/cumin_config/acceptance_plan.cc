#include "cumin_config/acceptance_plan.h"

#include <algorithm>
#include <utility>

#include "cumin_config/config_candidate.h"
#include "cumin_config/config_keys.h"
#include "cumin_core/digest.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** Maximum number of versions that a refusal lists. */
constexpr std::uint64_t kMaxListedVersions = 10;

}  // namespace

AcceptancePlan::AcceptancePlan(ChangeRequest request, int max_attempts)
    : request_(std::move(request)), max_attempts_(std::max(max_attempts, 1)) {
  outcome_.based_on = request_.based_on;
  outcome_.change.version = target_version();
  outcome_.change.change_id = request_.change_id;
  outcome_.change.accepted_at = request_.accepted_at;
  outcome_.change.author = request_.author;
  outcome_.change.note = request_.note;
  const Result<void> checked = CheckRequest(request_);
  if (!checked) {
    FinishWithError(AcceptanceResult::kInvalid, checked.error());
    return;
  }
  Read(Phase::kReadHead, kHeadKey);
}

void AcceptancePlan::OnRead(const Result<StoreEntry>& answer) {
  if (answer) {
    OnValue(answer.value());
    return;
  }
  if (answer.error().code == ErrorCode::kNotFound) {
    OnAbsent();
    return;
  }
  Retry(answer.error());
}

void AcceptancePlan::OnWrite(const Result<void>& answer) {
  const bool conflict = !answer && answer.error().code == ErrorCode::kConflict;
  if (!answer && answer.error().code == ErrorCode::kInvalid) {
    FinishUnresolved(AcceptanceResult::kInvalid, answer.error());
    return;
  }
  if (!answer && !conflict) {
    const bool lost = answer.error().code != ErrorCode::kUnavailable;
    if (phase_ == Phase::kSwapHead && lost) {
      swap_uncertain_ = true;
      outcome_.error = answer.error();
      Read(Phase::kReadHeadAgain, kHeadKey);
      return;
    }
    Retry(answer.error());
    return;
  }
  switch (phase_) {
    case Phase::kWritePart:
      if (conflict) {
        Read(Phase::kCheckPart, action_.key);
        return;
      }
      unwritten_.pop_back();
      WriteNextPart();
      return;
    case Phase::kCopyHead:
      if (conflict) {
        Read(Phase::kCheckCopy, action_.key);
        return;
      }
      SwapHead();
      return;
    default:
      if (conflict) {
        Read(Phase::kReadHeadAgain, kHeadKey);
        return;
      }
      outcome_.change = next_head_.change;
      outcome_.head_version = target_version();
      Finish(AcceptanceResult::kAccepted);
  }
}

void AcceptancePlan::Read(Phase phase, const std::string& key) {
  phase_ = phase;
  action_ = StoreAction{StoreAction::Kind::kRead, key, "", kAbsentIndex, 0};
}

void AcceptancePlan::Create(Phase phase, const std::string& key,
                            std::string value) {
  phase_ = phase;
  action_ = StoreAction{StoreAction::Kind::kCreate, key, std::move(value),
                        kAbsentIndex, 0};
}

void AcceptancePlan::Retry(const Error& error) {
  ++action_.attempt;
  if (action_.attempt < max_attempts_) {
    return;
  }
  if (phase_ == Phase::kReadSince) {
    // The change is refused in any case; only the list of versions accepted
    // since is incomplete.
    Finish(AcceptanceResult::kRefused);
    return;
  }
  FinishUnresolved(AcceptanceResult::kUnavailable, error);
}

void AcceptancePlan::Finish(AcceptanceResult result) {
  outcome_.result = result;
  if (result == AcceptanceResult::kAccepted ||
      result == AcceptanceResult::kRefused) {
    outcome_.error = Error();
  }
  action_ = StoreAction();
}

void AcceptancePlan::FinishWithError(AcceptanceResult result,
                                     const Error& error) {
  outcome_.error = error;
  Finish(result);
}

void AcceptancePlan::FinishUnresolved(AcceptanceResult result,
                                      const Error& error) {
  FinishWithError(swap_uncertain_ ? AcceptanceResult::kUnknown : result, error);
}

void AcceptancePlan::OnValue(const StoreEntry& entry) {
  switch (phase_) {
    case Phase::kReadHead:
    case Phase::kReadHeadAgain:
      return OnHead(entry);
    case Phase::kReadRollback:
      return OnRollbackRecord(entry);
    case Phase::kReadPart:
      return OnPartRead(entry);
    case Phase::kReadOldMesh:
      return OnOldMeshRead(entry);
    case Phase::kCheckPart:
      return OnPartChecked(entry);
    case Phase::kCheckCopy:
      return OnCopyChecked(entry);
    case Phase::kFindChange:
      return OnChangeLookedUp(entry);
    default:
      return OnSinceVersionRead(entry);
  }
}

void AcceptancePlan::OnAbsent() {
  if (phase_ == Phase::kReadHead && request_.based_on == 0) {
    PlanEdits(Manifest());
    return;
  }
  if (phase_ == Phase::kReadHead) {
    Finish(AcceptanceResult::kRefused);
    return;
  }
  if (phase_ == Phase::kReadHeadAgain && request_.based_on == 0) {
    SwapHead();
    return;
  }
  if (phase_ == Phase::kReadSince) {
    Finish(AcceptanceResult::kRefused);
    return;
  }
  FinishUnresolved(AcceptanceResult::kInvalid,
                   Error{ErrorCode::kNotFound, action_.key, 0, "",
                         "the store has no such key"});
}

void AcceptancePlan::OnHead(const StoreEntry& entry) {
  Result<HeadRecord> head = ParseHeadRecord(entry.value, entry.key);
  if (!head) {
    FinishUnresolved(AcceptanceResult::kInvalid, head.error());
    return;
  }
  head_ = std::move(head.value());
  head_text_ = entry.value;
  head_index_ = entry.modify_index;
  outcome_.head_version = head_->change.version;
  if (head_->change.version != request_.based_on) {
    OnHeadReplaced();
    return;
  }
  if (phase_ == Phase::kReadHeadAgain) {
    SwapUnchangedHead();
    return;
  }
  if (request_.rollback_to && *request_.rollback_to != head_->change.version) {
    Read(Phase::kReadRollback, VersionKey(*request_.rollback_to));
    return;
  }
  PlanEdits(head_->manifest);
}

void AcceptancePlan::SwapUnchangedHead() {
  if (DigestOf(*head_) != next_head_.previous_digest) {
    FinishUnresolved(AcceptanceResult::kInvalid,
                     Error{ErrorCode::kInvalid, kHeadKey, 0, "",
                           "was replaced by another record of the same "
                           "version"});
    return;
  }
  SwapHead();
}

void AcceptancePlan::OnHeadReplaced() {
  if (head_->change.change_id == request_.change_id) {
    outcome_.change = head_->change;
    Finish(AcceptanceResult::kAccepted);
    return;
  }
  if (head_->change.version > target_version()) {
    Read(Phase::kFindChange, VersionKey(target_version()));
    return;
  }
  // Either another change became the target version, or `based_on` is a
  // version that does not exist yet.
  next_since_version_ = head_->change.version;
  ReadNextSinceVersion();
}

void AcceptancePlan::OnChangeLookedUp(const StoreEntry& entry) {
  const Result<HeadRecord> record = ParseHeadRecord(entry.value, entry.key);
  if (!record) {
    FinishUnresolved(AcceptanceResult::kInvalid, record.error());
    return;
  }
  if (record.value().change.change_id == request_.change_id) {
    outcome_.change = record.value().change;
    Finish(AcceptanceResult::kAccepted);
    return;
  }
  const std::uint64_t version = head_->change.version;
  next_since_version_ = std::max(
      target_version(),
      version > kMaxListedVersions ? version - kMaxListedVersions + 1 : 1);
  ReadNextSinceVersion();
}

void AcceptancePlan::ReadNextSinceVersion() {
  if (next_since_version_ >= head_->change.version) {
    if (head_->change.version > request_.based_on) {
      outcome_.since.push_back(head_->change);
    }
    Finish(AcceptanceResult::kRefused);
    return;
  }
  Read(Phase::kReadSince, VersionKey(next_since_version_));
}

void AcceptancePlan::OnSinceVersionRead(const StoreEntry& entry) {
  const Result<HeadRecord> record = ParseHeadRecord(entry.value, entry.key);
  if (record) {
    outcome_.since.push_back(record.value().change);
  }
  ++next_since_version_;
  ReadNextSinceVersion();
}

void AcceptancePlan::OnRollbackRecord(const StoreEntry& entry) {
  const Result<HeadRecord> record = ParseHeadRecord(entry.value, entry.key);
  if (!record) {
    FinishWithError(AcceptanceResult::kInvalid, record.error());
    return;
  }
  PlanEdits(record.value().manifest);
}

void AcceptancePlan::PlanEdits(const Manifest& base) {
  unread_ = base;
  for (const PartEdit& it : request_.edits) {
    unread_.erase(std::remove_if(unread_.begin(), unread_.end(),
                                 [&](const ManifestEntry& each) {
                                   return each.name == it.name;
                                 }),
                  unread_.end());
    if (it.text) {
      texts_[it.name] = *it.text;
    }
  }
  ReadNextPart();
}

void AcceptancePlan::ReadNextPart() {
  if (unread_.empty()) {
    ReadOldMesh();
    return;
  }
  Read(Phase::kReadPart, PartKey(unread_.back().digest));
}

void AcceptancePlan::OnPartRead(const StoreEntry& entry) {
  texts_[unread_.back().name] = entry.value;
  unread_.pop_back();
  ReadNextPart();
}

void AcceptancePlan::ReadOldMesh() {
  const ManifestEntry* old =
      head_ ? FindEntry(head_->manifest, MeshPartName()) : nullptr;
  const auto next = texts_.find(MeshPartName());
  if (old == nullptr || next == texts_.end() ||
      old->digest == Sha256Hex(next->second)) {
    BuildVersion();
    return;
  }
  Read(Phase::kReadOldMesh, PartKey(old->digest));
}

void AcceptancePlan::OnOldMeshRead(const StoreEntry& entry) {
  const Result<void> kept =
      CheckShardCountsUnchanged(entry.value, texts_.at(MeshPartName()));
  if (!kept) {
    FinishWithError(AcceptanceResult::kInvalid, kept.error());
    return;
  }
  BuildVersion();
}

void AcceptancePlan::BuildVersion() {
  const HeadRecord* previous = head_ ? &*head_ : nullptr;
  const Result<ConfigBundle> candidate =
      MakeCandidate(outcome_.change, previous, texts_);
  if (!candidate) {
    FinishWithError(AcceptanceResult::kInvalid, candidate.error());
    return;
  }
  const ConfigBundle& next = candidate.value();
  if (head_ && next.head.change.changed_parts.empty()) {
    FinishWithError(
        AcceptanceResult::kInvalid,
        Error{ErrorCode::kInvalid, "", 0, "",
              "version " + std::to_string(request_.based_on) +
                  " has the same content already; there is nothing to do"});
    return;
  }
  next_head_ = next.head;
  for (const PartName& it : next_head_.change.changed_parts) {
    const ConfigPart* part = next.FindPart(it);
    if (part != nullptr) {
      unwritten_.push_back(*part);
    }
  }
  WriteNextPart();
}

void AcceptancePlan::WriteNextPart() {
  if (unwritten_.empty()) {
    CopyHead();
    return;
  }
  const std::string& text = unwritten_.back().text;
  Create(Phase::kWritePart, PartKey(Sha256Hex(text)), text);
}

void AcceptancePlan::OnPartChecked(const StoreEntry& entry) {
  if (entry.value != unwritten_.back().text) {
    FinishWithError(AcceptanceResult::kInvalid,
                    Error{ErrorCode::kInvalid, entry.key, 0, "",
                          "the store holds another text under this digest"});
    return;
  }
  unwritten_.pop_back();
  WriteNextPart();
}

void AcceptancePlan::CopyHead() {
  if (!head_) {
    SwapHead();
    return;
  }
  Create(Phase::kCopyHead, VersionKey(head_->change.version), head_text_);
}

void AcceptancePlan::OnCopyChecked(const StoreEntry& entry) {
  if (entry.value != head_text_) {
    FinishWithError(AcceptanceResult::kInvalid,
                    Error{ErrorCode::kInvalid, entry.key, 0, "",
                          "differs from the head that it is a copy of"});
    return;
  }
  SwapHead();
}

void AcceptancePlan::SwapHead() {
  if (swap_attempts_ == max_attempts_) {
    FinishUnresolved(
        AcceptanceResult::kUnavailable,
        Error{ErrorCode::kUnavailable, kHeadKey, 0, "",
              "the store did not answer " + std::to_string(max_attempts_) +
                  " attempts to replace the head"});
    return;
  }
  ++swap_attempts_;
  phase_ = Phase::kSwapHead;
  action_ = StoreAction{StoreAction::Kind::kSwap, kHeadKey,
                        ToJsonText(ToJson(next_head_)), head_index_,
                        swap_attempts_ - 1};
}

}  // namespace cumin
