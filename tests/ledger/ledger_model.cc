#include "ledger/ledger_model.h"

#include <algorithm>
#include <utility>

namespace cumin::test {

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::int64_t kMaxSkewMs = 500;
const ShardId kShard{ServiceId("orderdesk"), 0};

Duration Millis(std::int64_t n) { return std::chrono::milliseconds(n); }

}  // namespace

LedgerModel::LedgerModel(std::uint64_t seed, const ModelSetup& setup)
    : random_(seed), setup_(setup), daemons_(kDaemons) {
  options_.key_window = std::chrono::seconds(40);
  options_.clock_margin = Millis(setup.no_clock_margin ? 0 : 2 * kMaxSkewMs);
  lease_options_.length = setup.lease_length;
  lease_options_.renew_interval = setup.lease_length / 3;
  lease_options_.expiry_margin = Millis(10);
  if (setup.swaps_unconditional) {
    store_.IgnoreExpectedIndex();
  }
  Advance(Duration(0));  // Initializes the store's clock.
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons_[i].skew = RandomClockSkew();
    Restart(static_cast<int>(i));
  }
}

Duration LedgerModel::RandomClockSkew() {
  return Millis(Pick(2 * kMaxSkewMs) - kMaxSkewMs);
}

void LedgerModel::Restart(int daemon) {
  Daemon& it = daemons_[daemon];
  it.lease = std::make_unique<OwnerLease>(lease_options_);
  it.ledger = std::make_unique<ShardLedger>(kShard, VmId("vm"), options_);
  ++it.instance;
  it.is_paused = false;
}

MonoTime LedgerModel::Mono(int daemon) const {
  return MonoTime(elapsed_ + std::chrono::hours(daemon));
}

WallTime LedgerModel::Wall(Duration skew) const {
  return WallTime(
      std::chrono::duration_cast<WallTime::duration>(elapsed_ + skew));
}

void LedgerModel::Advance(Duration length) {
  elapsed_ += length;
  store_.SetNow(MonoTime(elapsed_));
}

void LedgerModel::StepDaemon(int daemon) {
  Daemon& it = daemons_[daemon];
  if (it.is_paused) {
    return;
  }
  const LeaseStep step = it.lease->Next(Mono(daemon), random_);
  if (step.kind != LeaseStepKind::kNone) {
    Submit(
        PendingCall{daemon, it.instance, step, step.call, std::nullopt, false});
  }
  const StoreCall call =
      it.ledger->ownership().Next(it.lease->term(), Mono(daemon));
  if (call.kind != StoreCallKind::kNone) {
    Submit(PendingCall{daemon, it.instance, LeaseStep(), call, std::nullopt,
                       false});
  }
}

void LedgerModel::Submit(PendingCall pending) {
  if (daemons_[pending.daemon].is_partitioned) {
    Answer(&pending, true);
  } else if (!setup_.store_completes_immediately && Chance(25)) {
    // StepPendingCall() executes and answers it later.
    pending_calls_.push_back(std::move(pending));
  } else {
    pending.result = ExecuteStoreCall(store_, pending.call);
    Answer(&pending, false);
  }
}

void LedgerModel::Answer(PendingCall* pending, bool is_lost) {
  Daemon& it = daemons_[pending->daemon];
  pending->is_answered = true;
  if (it.instance != pending->instance) {
    return;
  }
  const Error lost{ErrorCode::kOutcomeUnknown, "", 0, "", "lost"};
  const Result<StoreEntry> result =
      is_lost ? Result<StoreEntry>(lost) : *pending->result;
  if (pending->lease_step.kind == LeaseStepKind::kNone) {
    it.ledger->ownership().OnAnswer(result, Wall(it.skew));
    return;
  }
  if (setup_.lease_counts_from_answer) {
    pending->lease_step.requested_at = Mono(pending->daemon);
  }
  it.lease->OnAnswer(pending->lease_step, result);
}

void LedgerModel::StepPendingCall() {
  if (pending_calls_.empty()) {
    return;
  }
  const int n = Pick(pending_calls_.size());
  PendingCall& pending = pending_calls_[n];
  const bool can_answer =
      !pending.is_answered && !daemons_[pending.daemon].is_paused;
  if (can_answer && (pending.result || Chance(20))) {
    Answer(&pending, !pending.result || Chance(30));
  } else if (!pending.result) {
    pending.result = ExecuteStoreCall(store_, pending.call);
  }
  if (pending.is_answered && pending.result) {
    pending_calls_.erase(pending_calls_.begin() + n);
  }
}

void LedgerModel::StepUntilOwner(int daemon) {
  constexpr int kMaxSteps = 300;
  for (int i = 0; i < kMaxSteps && !OwnsShard(daemon); ++i) {
    StepDaemon(daemon);
    Advance(Millis(100));
  }
}

bool LedgerModel::OwnsShard(int daemon) const {
  const Daemon& it = daemons_[daemon];
  const LeaseTerm term = it.lease->term();
  const std::optional<Tenure>& tenure = it.ledger->ownership().tenure();
  return tenure && tenure->record.lease == term.lease &&
         term.IsValid(Mono(daemon));
}

int LedgerModel::SendNew() {
  calls_.push_back(CallState{Wall(RandomClockSkew()), 0});
  return Resend(calls() - 1);
}

int LedgerModel::Resend(int call) {
  const CallKey key{CustomerId("fabricators"),
                    IdempotencyKey("k" + std::to_string(call))};
  AttemptState state;
  state.call = call;
  state.attempt = Attempt{key, 1, calls_[call].first_sent};
  if (setup_.first_sent_not_repeated) {
    state.attempt.first_sent = Wall(Duration(0));
  }
  attempts_.push_back(state);
  return static_cast<int>(attempts_.size()) - 1;
}

void LedgerModel::Refuse(AttemptState* attempt, const Refusal& refusal) {
  attempt->stage = Stage::kDone;
  attempt->reason = refusal.reason;
  if (refusal.verdict == Verdict::kRan && calls_[attempt->call].runs != 1) {
    violation_ = "a refusal reported that a call ran which did not run";
  }
}

void LedgerModel::Admit(int attempt, int daemon) {
  AttemptState& it = attempts_[attempt];
  Daemon& at = daemons_[daemon];
  it.daemon = daemon;
  it.instance = at.instance;
  const AttemptDecision decision = at.ledger->Begin(
      it.attempt, at.lease->term(), Mono(daemon), Wall(at.skew));
  if (const auto* token = std::get_if<DispatchToken>(&decision)) {
    it.token = *token;
    it.stage = Stage::kAdmitted;
  } else if (const auto* refusal = std::get_if<Refusal>(&decision)) {
    Refuse(&it, *refusal);
  } else {
    it.stage = Stage::kDone;
    if (calls_[it.call].runs != 1) {
      violation_ = "an answer was replayed for a call that didn't run";
    }
  }
}

void LedgerModel::Check(int attempt) {
  AttemptState& it = attempts_[attempt];
  Daemon& at = daemons_[it.daemon];
  const std::optional<Refusal> refusal =
      at.ledger->CheckDispatch(it.token, at.lease->term(), Mono(it.daemon));
  it.stage = Stage::kChecked;
  if (refusal && !setup_.dispatch_unchecked) {
    Refuse(&it, *refusal);
  }
}

void LedgerModel::Run(int attempt) {
  AttemptState& it = attempts_[attempt];
  it.stage = Stage::kRunning;
  if (++calls_[it.call].runs > 1) {
    violation_ = "a call ran twice";
  }
}

void LedgerModel::Finish(int attempt, Verdict verdict) {
  AttemptState& it = attempts_[attempt];
  it.stage = Stage::kDone;
  daemons_[it.daemon].ledger->Finish(it.token, verdict,
                                     new StoredAnswer(200, "", "done"));
}

RefusalReason LedgerModel::Process(int attempt, int daemon) {
  Admit(attempt, daemon);
  if (attempts_[attempt].stage == Stage::kAdmitted) {
    Check(attempt);
  }
  if (attempts_[attempt].stage == Stage::kChecked) {
    Run(attempt);
    Finish(attempt, Verdict::kRan);
  }
  return attempts_[attempt].reason;
}

void LedgerModel::Export(int daemon) {
  Daemon& it = daemons_[daemon];
  if (std::optional<KeyExport> keys = it.ledger->StopAndExport(Wall(it.skew))) {
    exports_.push_back(ParseKeyExport(ToText(*keys), "peer").value());
  }
}

void LedgerModel::Import(int exported, int daemon) {
  KeyExport keys = exports_.at(exported);
  if (setup_.handover_epoch_ignored) {
    const StoreEntry entry = store_.Get(ShardKey(kShard)).value();
    keys.epoch = ParseShardRecord(entry.value, "").value().epoch;
  }
  daemons_[daemon].ledger->ownership().OnHandover(std::move(keys));
}

void LedgerModel::ExpireOwnerLease() {
  StepUntilOwner(0);
  Advance(lease_options_.renew_interval * 3 / 2);
  const LeaseStep step = daemons_[0].lease->Next(Mono(0), random_);
  PendingCall pending{0,         daemons_[0].instance, step,
                      step.call, std::nullopt,         false};
  pending.result = ExecuteStoreCall(store_, pending.call);
  Advance(Millis(Pick(4000)));
  Answer(&pending, false);
  daemons_[0].is_partitioned = true;
  const Duration end = elapsed_ + lease_options_.length * 2;
  while (elapsed_ < end && violation_.empty()) {
    Advance(Millis(Pick(60)));
    StepDaemon(0);
    StepDaemon(1);
    Process(SendNew(), 0);
    const int n = Pick(std::min<std::size_t>(calls_.size(), 20));
    Process(Resend(calls() - 1 - n), 1);
  }
}

int LedgerModel::PickOwner() {
  int daemon = Pick(kDaemons);
  for (std::size_t i = 0; i < kDaemons && Chance(90); ++i) {
    if (daemons_[daemon].ledger->ownership().tenure()) {
      return daemon;
    }
    daemon = (daemon + 1) % static_cast<int>(kDaemons);
  }
  return daemon;
}

void LedgerModel::StepAttempt(int attempt) {
  AttemptState& it = attempts_[attempt];
  if (it.stage == Stage::kSent) {
    const int daemon = PickOwner();
    if (!daemons_[daemon].is_paused) {
      Admit(attempt, daemon);
    }
    return;
  }
  if (it.stage == Stage::kChecked) {
    Run(attempt);  // The request may be in transit when its sender dies.
    return;
  }
  const Daemon& at = daemons_[it.daemon];
  if (at.is_paused || at.instance != it.instance) {
    return;
  }
  if (it.stage == Stage::kAdmitted && Chance(85)) {
    Check(attempt);
  } else if (it.stage == Stage::kAdmitted) {
    Finish(attempt, Verdict::kNotRun);
  } else if (it.stage == Stage::kRunning) {
    Finish(attempt, Chance(70) ? Verdict::kRan : Verdict::kMayHaveRun);
  }
}

void LedgerModel::InjectFault() {
  const int daemon = Pick(kDaemons);
  Daemon& it = daemons_[daemon];
  const int kind = Pick(100);
  if (kind < 20 && it.is_paused) {
    it.is_paused = false;
  } else if (kind < 25) {
    it.is_paused = true;
  } else if (kind < 45) {
    it.is_partitioned = Chance(20);
  } else if (kind < 48) {
    Restart(daemon);
  } else if (kind < 52) {
    store_.SetDown(Chance(30));
  } else if (kind < 58 && !it.is_paused) {
    Export(daemon);
  } else if (kind < 90 && !exports_.empty() && !it.is_paused) {
    const int n = Chance(80) ? 1 : Pick(exports_.size()) + 1;
    Import(exports() - n, daemon);
  }
}

void LedgerModel::Step() {
  const int kind = Pick(16);
  if (kind == 0) {
    Advance(Millis(Pick(Chance(5) ? 12000 : 600)));
  } else if (kind <= 3) {
    StepDaemon(Pick(kDaemons));
  } else if (kind <= 5) {
    StepPendingCall();
  } else if (kind == 6) {
    InjectFault();
  } else if (kind == 7 && Chance(60)) {
    SendNew();
  } else if (kind <= 9 && !calls_.empty()) {
    const std::size_t recent = Chance(50) ? 4 : 80;
    Resend(calls() - 1 - Pick(std::min(calls_.size(), recent)));
  } else if (!attempts_.empty()) {
    const std::size_t recent = Chance(10) ? attempts_.size() : 8;
    const int n = Pick(std::min(attempts_.size(), recent));
    StepAttempt(static_cast<int>(attempts_.size()) - 1 - n);
  }
}

}  // namespace cumin::test
