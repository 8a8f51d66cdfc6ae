#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_ledger/cumin_ledger.h"
#include "ledger/fake_store.h"

namespace cumin::test {

/** Deliberate faults, to show that the properties detect them. */
struct ModelFaults {
  /** Counts the lease from the renewal's answer. */
  bool lease_counts_from_answer = false;
  /** Callers give the time of each attempt as that of the first. */
  bool first_sent_restamped = false;
  /** A hand-over is taken in whatever its epoch. */
  bool handover_epoch_ignored = false;
  /** The store's compare-and-swap always writes. */
  bool swaps_unconditional = false;
  /** Attempts are handed to the target without the last check. */
  bool dispatch_unchecked = false;
  /** The margin for clock skew is zero. */
  bool no_clock_margin = false;
};

/** Which disturbances the model makes. */
struct ModelWeather {
  bool kills = true;
  bool pauses = true;
  bool store_trouble = true;
  bool handovers = true;
  bool delays = true;
};

/** Interleaves daemons that share one shard, callers and the store, one small
    step at a time, and counts what ran. */
class LedgerModel {
 public:
  LedgerModel(std::uint64_t seed, ModelFaults faults, ModelWeather weather);

  /** Makes one random step. */
  void Step();

  /** @returns what broke a promise, or an empty text */
  const std::string& broken() const { return broken_; }

  // The steps, also for tests that give their order.
  void Advance(Duration length);
  void StepDaemon(int daemon);
  int SendNew();
  int Resend(int call);
  void Arrive(int attempt, int daemon);
  void Check(int attempt);
  void Run(int attempt);
  void Finish(int attempt, Verdict verdict);
  /** Takes an attempt through all its steps. */
  void Carry(int attempt, int daemon);
  void Kill(int daemon);
  void SetPaused(int daemon, bool paused);
  void SetCutOff(int daemon, bool cut_off) {
    daemons_.at(daemon).cut_off = cut_off;
  }
  void SetStoreDown(bool down) { store_.SetDown(down); }
  void Export(int daemon);
  void Import(int exported, int daemon);
  /** Lets daemon 0 own the shard, answers a renewal late and cuts it off from
      the store, while calls go through it and their resends through another. */
  void LapseOwner();
  /** Steps until the daemon owns the shard under a valid lease. */
  void AwaitOwner(int daemon);

  int exports() const { return static_cast<int>(exports_.size()); }
  int calls() const { return static_cast<int>(calls_.size()); }
  int runs(int call) const { return calls_.at(call).runs; }
  /** @returns the attempt's refusal reason; kNone when it wasn't refused */
  RefusalReason reason(int attempt) const {
    return attempts_.at(attempt).reason;
  }
  bool replayed(int attempt) const { return attempts_.at(attempt).replayed; }

 private:
  enum class Stage { kSent, kAdmitted, kChecked, kRunning, kDone };
  struct Call {
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
    bool replayed = false;
  };
  struct Daemon {
    std::unique_ptr<OwnerLease> lease;
    std::unique_ptr<ShardLedger> ledger;
    int instance = 0;
    bool paused = false;
    /** Can't reach the store. */
    bool cut_off = false;
    Duration skew{0};
  };
  /** A store call between its question and its answer. */
  struct Op {
    int daemon = 0;
    int instance = 0;
    std::optional<LeaseStep> lease_step;
    std::optional<ShardStep> shard_step;
    std::optional<Result<StoreEntry>> result;
    bool answered = false;
  };

  bool Chance(int percent) {
    return random_.Below(100) < static_cast<std::uint64_t>(percent);
  }
  /** @returns mostly a daemon that believes it owns the shard */
  int PickTarget();
  int Pick(std::size_t n) { return static_cast<int>(random_.Below(n)); }
  MonoTime Mono(int daemon) const;
  WallTime Wall(Duration skew) const;
  Duration RandomSkew();
  void Restart(int daemon);
  bool OwnsShard(int daemon) const;
  bool IsUp(const AttemptState& attempt) const;
  void Fate(Op op);
  void Apply(Op* op);
  void Answer(Op* op, bool lost);
  void StepAttempt(int attempt);
  void StepOp();
  void StepTrouble();
  void Refuse(AttemptState* attempt, const Refusal& refusal);
  Attempt MakeAttempt(int call);

  SeededRandom random_;
  ModelFaults faults_;
  ModelWeather weather_;
  LedgerOptions options_;
  LeaseOptions lease_options_;
  FakeStore store_;
  Duration elapsed_{std::chrono::hours(1)};
  std::vector<Daemon> daemons_;
  std::vector<Call> calls_;
  std::vector<AttemptState> attempts_;
  std::vector<Op> ops_;
  std::vector<KeyExport> exports_;
  std::string broken_;
};

}  // namespace cumin::test
