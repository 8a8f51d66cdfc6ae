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

/** The next store call that an AcceptancePlan requires. */
struct StoreAction {
  enum class Kind {
    /** No call; the plan is done. */
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
  /** Number of previous attempts at this action; the caller backs off before
      an attempt above 0. */
  int attempt = 0;
};

/** State machine that turns a change into a configuration version: given the
    response to the previous store call, it determines the next one.

    The order of the calls keeps the store consistent at every point. Parts are
    written before the head that refers to them, and the current head is copied
    into the history before it is replaced. The head is replaced by
    compare-and-swap against the index that was read, so only one of several
    concurrent operators succeeds. If the response to the swap is lost, the head
    and the history are read back and searched for the change id.

    Performs no I/O; ConfigAcceptor executes the actions. Not thread-safe.
*/
class AcceptancePlan {
 public:
  /** @param request       the requested change
      @param max_attempts  maximum number of attempts for each action; values
                           below 1 count as 1 */
  AcceptancePlan(ChangeRequest request, int max_attempts);

  /** @returns the store call to make next */
  const StoreAction& action() const { return action_; }

  bool done() const { return action_.kind == StoreAction::Kind::kNone; }

  /** @returns the outcome; valid only if done() */
  const AcceptanceOutcome& outcome() const { return outcome_; }

  /** Processes the response to a kRead action. */
  void OnRead(const Result<StoreEntry>& answer);

  /** Processes the response to a kCreate or kSwap action. */
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
  /** Finishes with kUnknown if a swap may have taken effect, otherwise with
      `result`. */
  void FinishUnresolved(AcceptanceResult result, const Error& error);

  void OnValue(const StoreEntry& entry);
  void OnAbsent();
  void OnHead(const StoreEntry& entry);
  void OnHeadReplaced();
  void OnRollbackRecord(const StoreEntry& entry);
  void OnPartRead(const StoreEntry& entry);
  void OnOldMeshRead(const StoreEntry& entry);
  void OnPartChecked(const StoreEntry& entry);
  void OnCopyChecked(const StoreEntry& entry);
  void OnChangeLookedUp(const StoreEntry& entry);
  void OnSinceVersionRead(const StoreEntry& entry);

  void PlanEdits(const Manifest& base);
  void ReadNextPart();
  void ReadOldMesh();
  void BuildVersion();
  void WriteNextPart();
  void CopyHead();
  void SwapHead();
  void SwapUnchangedHead();
  void ReadNextSinceVersion();
  std::uint64_t target_version() const { return request_.based_on + 1; }

  ChangeRequest request_;
  int max_attempts_;
  Phase phase_ = Phase::kReadHead;
  StoreAction action_;
  AcceptanceOutcome outcome_;

  /** The head as last read, its text and its modification index. */
  std::optional<HeadRecord> head_;
  std::string head_text_;
  std::uint64_t head_index_ = kAbsentIndex;

  /** Texts of the new version, by part. */
  PartTexts texts_;
  /** Parts whose texts have yet to be read, in reverse order. */
  Manifest unread_;
  /** Parts that have yet to be written, in reverse order. */
  std::vector<ConfigPart> unwritten_;
  HeadRecord next_head_;
  /** The response to a swap was lost, so the change may have been accepted or
      may still be. */
  bool swap_uncertain_ = false;
  int swap_attempts_ = 0;
  std::uint64_t next_since_version_ = 0;
};

}  // namespace cumin
