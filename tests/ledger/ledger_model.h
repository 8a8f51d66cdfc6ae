#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_ledger/cumin_ledger.h"
#include "ledger/fake_store.h"

namespace cumin::test {

/** Injected faults, which show that the properties detect them, and parameters
    that tests vary. */
struct ModelSetup {
  bool lease_counts_from_answer = false;
  /** Callers send the time of each attempt as that of the first attempt. */
  bool first_sent_not_repeated = false;
  bool handover_epoch_ignored = false;
  /** The store's compare-and-swap ignores the expected index. */
  bool swaps_unconditional = false;
  bool dispatch_unchecked = false;
  /** The ledger allows for no clock skew. */
  bool no_clock_margin = false;
  /** Store calls complete without delay. */
  bool store_completes_immediately = true;
  Duration lease_length{std::chrono::seconds(8)};
};

/** Simulates daemons that compete for one shard, callers and the store, in
    small interleaved steps, and counts how often each call ran. */
class LedgerModel {
 public:
  LedgerModel(std::uint64_t seed, const ModelSetup& setup);

  /** Makes one random step of any participant or injects a fault. */
  void Step();

  /** @returns the guarantee that was violated, or an empty string */
  const std::string& violation() const { return violation_; }

  // Single steps, for tests that choose the order. Daemons, calls, attempts and
  // exports are identified by their index.
  void Advance(Duration length);
  void StepDaemon(int daemon);
  /** Steps the daemon until it owns the shard, for at most 30 s. */
  void StepUntilOwner(int daemon);
  int SendNew();
  int Resend(int call);
  void Admit(int attempt, int daemon);
  void Check(int attempt);
  void Run(int attempt);
  void Finish(int attempt, Verdict verdict);
  /** Takes an attempt through all of its stages.
      @returns the refusal's reason, or kNone when it wasn't refused */
  RefusalReason Process(int attempt, int daemon);
  /** Replaces the daemon by a new process without keys or a lease. */
  void Restart(int daemon);
  void Export(int daemon);
  void Import(int exported, int daemon);
  /** Lets daemon 0 own the shard, delays the answer to a renewal and then
      partitions it from the store, while new calls go to it and their resends
      to daemon 1. */
  void ExpireOwnerLease();

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
    bool is_partitioned = false;
    Duration skew{0};
  };
  /** A store call between its submission and its answer. */
  struct PendingCall {
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
  Duration RandomClockSkew();
  int PickOwner();
  bool OwnsShard(int daemon) const;
  void Submit(PendingCall pending);
  void Answer(PendingCall* pending, bool is_lost);
  void StepPendingCall();
  void StepAttempt(int attempt);
  void InjectFault();
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
  std::vector<PendingCall> pending_calls_;
  std::vector<KeyExport> exports_;
  std::string violation_;
};

}  // namespace cumin::test
