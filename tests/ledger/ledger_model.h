#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_ledger/cumin_ledger.h"
#include "ledger/fake_store.h"

namespace cumin::test {

/** Deliberate faults, to show that the properties detect them, and the times
    that tests vary. */
struct ModelSetup {
  bool lease_counts_from_answer = false;
  /** Callers give the time of each attempt as that of the first. */
  bool first_sent_restamped = false;
  bool handover_epoch_ignored = false;
  /** The store's compare-and-swap always writes. */
  bool swaps_unconditional = false;
  bool dispatch_unchecked = false;
  /** The margin for clock skew is zero. */
  bool no_clock_margin = false;
  /** Store calls are answered at once. */
  bool is_store_prompt = true;
  Duration lease_length{std::chrono::seconds(8)};
};

/** Interleaves daemons that share one shard, callers and the store, one small
    step at a time, and counts what ran. */
class LedgerModel {
 public:
  LedgerModel(std::uint64_t seed, const ModelSetup& setup);

  /** Makes one random step of anything. */
  void Step();

  /** @returns which promise broke, or an empty text */
  const std::string& broken() const { return broken_; }

  // Single steps, for tests that give their order. A daemon, call, attempt or
  // export is named by its number, counted from 0.
  void Advance(Duration length);
  void StepDaemon(int daemon);
  /** Steps until the daemon owns the shard, for 30 s at most. */
  void AwaitOwner(int daemon);
  int SendNew();
  int Resend(int call);
  void Arrive(int attempt, int daemon);
  void Check(int attempt);
  void Run(int attempt);
  void Finish(int attempt, Verdict verdict);
  /** Takes an attempt through all its steps.
      @returns the refusal's reason, or kNone when it wasn't refused */
  RefusalReason Carry(int attempt, int daemon);
  void Kill(int daemon);
  void Export(int daemon);
  void Import(int exported, int daemon);
  /** Lets daemon 0 own the shard, answers a renewal late and cuts it off from
      the store, while calls go through it and their resends through another. */
  void LapseOwner();

  FakeStore& store() { return store_; }
  Random& random() { return random_; }
  Duration elapsed() const { return elapsed_; }
  int exports() const { return static_cast<int>(exports_.size()); }
  int calls() const { return static_cast<int>(calls_.size()); }
  int runs(int call) const { return calls_.at(call).runs; }
  RefusalReason reason(int attempt) const {
    return attempts_.at(attempt).reason;
  }

 private:
  enum class Stage { kSent, kAdmitted, kChecked, kRunning, kDone };
  struct CallState {
    WallTime first_sent{};
    int runs = 0;
  };
  struct AttemptState {
    int call = 0;
    Attempt attempt;
    Stage stage = Stage::kSent;
    int daemon = 0;
    int instance = 0;
    DispatchToken token;
    RefusalReason reason = RefusalReason::kNone;
  };
  struct Daemon {
    std::unique_ptr<OwnerLease> lease;
    std::unique_ptr<ShardLedger> ledger;
    int instance = 0;
    bool is_paused = false;
    /** Can't reach the store. */
    bool is_cut_off = false;
    Duration skew{0};
  };
  /** A store call between its question and its answer. */
  struct Op {
    int daemon = 0;
    int instance = 0;
    LeaseStep lease_step;
    StoreCall call;
    std::optional<Result<StoreEntry>> result;
    bool is_answered = false;
  };

  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }
  int Pick(std::size_t n) { return static_cast<int>(random_.Below(n)); }
  MonoTime Mono(int daemon) const;
  WallTime Wall(Duration skew) const;
  Duration RandomSkew();
  int PickOwner();
  bool OwnsShard(int daemon) const;
  void Submit(Op op);
  void Answer(Op* op, bool is_lost);
  void StepOp();
  void StepAttempt(int attempt);
  void StepTrouble();
  void Refuse(AttemptState* attempt, const Refusal& refusal);

  SeededRandom random_;
  ModelSetup setup_;
  LedgerOptions options_;
  LeaseOptions lease_options_;
  FakeStore store_;
  Duration elapsed_{std::chrono::hours(1)};
  std::vector<Daemon> daemons_;
  std::vector<CallState> calls_;
  std::vector<AttemptState> attempts_;
  std::vector<Op> ops_;
  std::vector<KeyExport> exports_;
  std::string broken_;
};

}  // namespace cumin::test
