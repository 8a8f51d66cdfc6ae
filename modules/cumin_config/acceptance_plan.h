#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cumin_config/acceptance_outcome.h"
#include "cumin_config/change_request.h"
#include "cumin_config/config_bundle.h"
#include "cumin_config/config_candidate.h"
#include "cumin_core/error.h"
#include "cumin_store/store.h"

namespace cumin {

/** What to do with the store next. */
struct StoreAction {
  enum class Kind {
    /** Nothing; the plan is done. */
    kNone,
    /** Store::Get. */
    kRead,
    /** Store::CompareAndSwap with kAbsentIndex. */
    kCreate,
    /** Store::CompareAndSwap with `expected_index`. */
    kSwap,
  };

  Kind kind = Kind::kNone;
  std::string key;
  std::string value;
  std::uint64_t expected_index = kAbsentIndex;
  /** How often this action was tried already; retries wait before they begin.
   */
  int attempt = 0;
};

/** Decides how a change becomes a configuration version: which store call
    comes next, given the answer to the one before.

    The order of the calls keeps the store's content whole at every moment.
    Parts are written before the head that names them; the head that is to be
    replaced is copied into the history before the swap. The swap expects the
    head that was read, so of several operators one wins. When its answer is
    lost, the head and the history are read back and searched for the change id.

    Does no I/O; ConfigAcceptor carries the actions out. Not thread-safe.
*/
class AcceptancePlan {
 public:
  /** @param request       what to change
      @param max_attempts  how often one action is tried, at least 1 */
  AcceptancePlan(ChangeRequest request, int max_attempts);

  /** @returns the call to make now */
  const StoreAction& action() const { return action_; }

  /** @returns true once the outcome stands */
  bool done() const { return action_.kind == StoreAction::Kind::kNone; }

  /** @returns the outcome; only when done */
  const AcceptanceOutcome& outcome() const { return outcome_; }

  /** Takes the answer to a kRead action. */
  void OnRead(const Result<StoreEntry>& answer);

  /** Takes the answer to a kCreate or kSwap action. */
  void OnWrite(const Result<void>& answer);

 private:
  enum class Phase {
    kReadHead,
    kReadRollback,
    kReadPart,
    kReadOldMesh,
    kWritePart,
    kCheckPart,
    kCopyHead,
    kCheckCopy,
    kSwapHead,
    kReadHeadAgain,
    kFindChange,
    kReadSince,
  };

  void Read(Phase phase, const std::string& key);
  void Create(Phase phase, const std::string& key, std::string value);
  void Retry(const Error& error);
  void Finish(AcceptanceResult result);
  void FinishWithError(AcceptanceResult result, const Error& error);
  /** kUnknown if a swap may have taken effect, else the given result. */
  void FinishUnresolved(AcceptanceResult result, const Error& error);

  void OnValue(const StoreEntry& entry);
  void OnAbsent();
  void OnHead(const StoreEntry& entry);
  void OnHeadMoved();
  void OnRollbackRecord(const StoreEntry& entry);
  void OnPartRead(const StoreEntry& entry);
  void OnOldMeshRead(const StoreEntry& entry);
  void OnPartChecked(const StoreEntry& entry);
  void OnCopyChecked(const StoreEntry& entry);
  void OnChangeLookedUp(const StoreEntry& entry);
  void OnSinceRead(const StoreEntry& entry);

  void PlanEdits(const Manifest& base);
  void ReadNextPart();
  void ReadOldMesh();
  void BuildVersion();
  void WriteNextPart();
  void CopyHead();
  void SwapHead();
  void SwapSameHead();
  void ReadNextSince();
  std::uint64_t target_version() const { return request_.based_on + 1; }

  ChangeRequest request_;
  int max_attempts_;
  Phase phase_ = Phase::kReadHead;
  StoreAction action_;
  AcceptanceOutcome outcome_;

  /** The newest head read, its text in the store and its index. */
  std::optional<HeadRecord> head_;
  std::string head_text_;
  std::uint64_t head_index_ = kAbsentIndex;

  /** Texts of the version to be, by part. */
  PartTexts texts_;
  /** Parts whose texts are still to be read, last first. */
  Manifest unread_;
  /** Parts to write, last first. */
  std::vector<ConfigPart> unwritten_;
  HeadRecord next_head_;
  /** A swap's answer was lost, so the change may yet be accepted. */
  bool swap_uncertain_ = false;
  int swap_rounds_ = 0;
  std::uint64_t next_since_ = 0;
};

}  // namespace cumin
