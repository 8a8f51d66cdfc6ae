#include "ledger/ledger_model.h"

#include <algorithm>
#include <utility>

namespace cumin::test {

namespace {

constexpr int kDaemons = 3;
constexpr std::int64_t kSkewMs = 500;
const ShardId kShard{ServiceId("orderdesk"), 0};

Duration Millis(std::int64_t n) { return std::chrono::milliseconds(n); }

Error Lost() { return Error{ErrorCode::kOutcomeUnknown, "", 0, "", "lost"}; }

}  // namespace

LedgerModel::LedgerModel(std::uint64_t seed, ModelFaults faults,
                         ModelWeather weather)
    : random_(seed), faults_(faults), weather_(weather), daemons_(kDaemons) {
  options_.key_window = std::chrono::seconds(40);
  options_.clock_margin = Millis(faults_.no_clock_margin ? 0 : 2 * kSkewMs);
  lease_options_.length = std::chrono::seconds(8);
  lease_options_.renew_interval = std::chrono::seconds(2);
  lease_options_.expiry_margin = Millis(200);
  if (faults_.swaps_unconditional) {
    store_.IgnoreExpectedIndex();
  }
  for (int i = 0; i < kDaemons; ++i) {
    daemons_[i].skew = RandomSkew();
    Restart(i);
  }
  Advance(Duration(0));
}

Duration LedgerModel::RandomSkew() {
  return Millis(static_cast<std::int64_t>(random_.Below(2 * kSkewMs)) -
                kSkewMs);
}

void LedgerModel::Restart(int daemon) {
  Daemon& it = daemons_[daemon];
  it.lease = std::make_unique<OwnerLease>(lease_options_);
  it.ledger = std::make_unique<ShardLedger>(
      kShard, VmId("vm" + std::to_string(daemon)), options_);
  ++it.instance;
  it.paused = false;
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
  if (it.paused) {
    return;
  }
  const LeaseStep lease_step = it.lease->Next(Mono(daemon), random_);
  if (lease_step.kind != LeaseStepKind::kNone) {
    Fate(Op{daemon, it.instance, lease_step, std::nullopt, std::nullopt});
  }
  const ShardStep shard_step =
      it.ledger->ownership().Next(it.lease->term(), Mono(daemon));
  if (shard_step.kind != ShardStepKind::kNone) {
    Fate(Op{daemon, it.instance, std::nullopt, shard_step, std::nullopt});
  }
}

void LedgerModel::Fate(Op op) {
  if (daemons_[op.daemon].cut_off) {
    Answer(&op, true);
    return;
  }
  if (weather_.store_trouble && Chance(25)) {
    ops_.push_back(std::move(op));  // Its steps come later, in any order.
    return;
  }
  Apply(&op);
  Answer(&op, false);
}

void LedgerModel::Apply(Op* op) {
  const Result<StoreEntry> done = StoreEntry();
  if (op->lease_step && op->lease_step->kind == LeaseStepKind::kGrant) {
    Result<std::string> lease = store_.GrantLease(lease_options_.length);
    op->result = lease
                     ? Result<StoreEntry>(StoreEntry{"", lease.value(), 0, ""})
                     : Result<StoreEntry>(lease.error());
    return;
  }
  Result<void> written = Ok();
  if (op->lease_step && op->lease_step->kind == LeaseStepKind::kAnnounce) {
    const std::string& lease = op->lease_step->lease;
    written = store_.CompareAndSwap(LeaseKey(lease), "", kAbsentIndex, lease);
  } else if (op->lease_step) {
    written = store_.RenewLease(op->lease_step->lease);
  } else if (op->shard_step->kind == ShardStepKind::kWriteRecord) {
    written = store_.CompareAndSwap(op->shard_step->key, op->shard_step->value,
                                    op->shard_step->expected_index, "");
  } else {
    op->result = store_.Get(op->shard_step->key);
    return;
  }
  op->result = written ? done : Result<StoreEntry>(written.error());
}

void LedgerModel::Answer(Op* op, bool lost) {
  Daemon& it = daemons_[op->daemon];
  op->answered = true;
  if (it.instance != op->instance) {
    return;
  }
  const Result<StoreEntry> result =
      lost ? Result<StoreEntry>(Lost()) : *op->result;
  if (op->lease_step) {
    LeaseStep step = *op->lease_step;
    if (faults_.lease_counts_from_answer) {
      step.asked_at = Mono(op->daemon);
    }
    it.lease->OnAnswer(step, result ? Result<std::string>(result.value().value)
                                    : Result<std::string>(result.error()));
    return;
  }
  ShardOwnership& ownership = it.ledger->ownership();
  switch (op->shard_step->kind) {
    case ShardStepKind::kReadRecord:
      return ownership.OnRecord(result, Wall(it.skew));
    case ShardStepKind::kReadLease:
      return ownership.OnLease(result, Wall(it.skew));
    default:
      return ownership.OnWritten(result ? Ok() : Result<void>(result.error()));
  }
}

Attempt LedgerModel::MakeAttempt(int call) {
  Attempt attempt;
  attempt.key = CallKey{CustomerId("fabricators"),
                        IdempotencyKey("k" + std::to_string(call))};
  attempt.first_sent = calls_[call].first_sent;
  if (faults_.first_sent_restamped) {
    attempt.first_sent = Wall(Duration(0));
  }
  return attempt;
}

int LedgerModel::SendNew() {
  calls_.push_back(Call{Wall(RandomSkew()), 0});
  return Resend(static_cast<int>(calls_.size()) - 1);
}

int LedgerModel::Resend(int call) {
  AttemptState attempt;
  attempt.call = call;
  attempt.attempt = MakeAttempt(call);
  attempts_.push_back(attempt);
  return static_cast<int>(attempts_.size()) - 1;
}

void LedgerModel::Refuse(AttemptState* attempt, const Refusal& refusal) {
  attempt->stage = Stage::kDone;
  attempt->reason = refusal.reason;
  if (refusal.verdict == Verdict::kRan && calls_[attempt->call].runs != 1) {
    broken_ = "a refusal said that a call ran which didn't";
  }
}

void LedgerModel::Arrive(int attempt, int daemon) {
  AttemptState& it = attempts_[attempt];
  Daemon& at = daemons_[daemon];
  it.daemon = daemon;
  it.instance = at.instance;
  const AttemptDecision decision = at.ledger->Begin(
      it.attempt, at.lease->term(), Mono(daemon), Wall(at.skew));
  if (const auto* token = std::get_if<DispatchToken>(&decision)) {
    it.token = *token;
    it.stage = Stage::kAdmitted;
    return;
  }
  if (const auto* refusal = std::get_if<Refusal>(&decision)) {
    Refuse(&it, *refusal);
    return;
  }
  it.stage = Stage::kDone;
  it.replayed = true;
  if (calls_[it.call].runs != 1) {
    broken_ = "an answer was replayed for a call that didn't run";
  }
}

void LedgerModel::Check(int attempt) {
  AttemptState& it = attempts_[attempt];
  Daemon& at = daemons_[it.daemon];
  const std::optional<Refusal> refusal =
      at.ledger->CheckDispatch(it.token, at.lease->term(), Mono(it.daemon));
  it.stage = Stage::kChecked;
  if (refusal && !faults_.dispatch_unchecked) {
    Refuse(&it, *refusal);
  }
}

void LedgerModel::Run(int attempt) {
  AttemptState& it = attempts_[attempt];
  it.stage = Stage::kRunning;
  if (++calls_[it.call].runs > 1) {
    broken_ = "a call ran twice";
  }
}

void LedgerModel::Finish(int attempt, Verdict verdict) {
  AttemptState& it = attempts_[attempt];
  it.stage = Stage::kDone;
  daemons_[it.daemon].ledger->Finish(it.token, verdict,
                                     new StoredAnswer(200, "", "done"));
}

void LedgerModel::Carry(int attempt, int daemon) {
  Arrive(attempt, daemon);
  if (attempts_[attempt].stage == Stage::kAdmitted) {
    Check(attempt);
  }
  if (attempts_[attempt].stage == Stage::kChecked) {
    Run(attempt);
    Finish(attempt, Verdict::kRan);
  }
}

void LedgerModel::Kill(int daemon) { Restart(daemon); }

void LedgerModel::SetPaused(int daemon, bool paused) {
  daemons_[daemon].paused = paused;
}

void LedgerModel::Export(int daemon) {
  Daemon& it = daemons_[daemon];
  if (std::optional<KeyExport> keys = it.ledger->StopAndExport(Wall(it.skew))) {
    exports_.push_back(ParseKeyExport(ToText(*keys), "peer").value());
  }
}

void LedgerModel::Import(int exported, int daemon) {
  KeyExport keys = exports_.at(exported);
  if (faults_.handover_epoch_ignored) {
    const StoreEntry entry = store_.Get(ShardKey(kShard)).value();
    keys.epoch = ParseShardRecord(entry.value, "").value().epoch;
  }
  daemons_[daemon].ledger->ownership().OnHandover(std::move(keys));
}

void LedgerModel::LapseOwner() {
  constexpr int kNext = 1;
  AwaitOwner(0);
  Advance(lease_options_.renew_interval * 2);
  Op op{0, daemons_[0].instance, daemons_[0].lease->Next(Mono(0), random_),
        std::nullopt, std::nullopt};
  Apply(&op);
  Advance(Millis(Pick(4000)));
  Answer(&op, false);
  SetCutOff(0, true);
  const Duration end = elapsed_ + lease_options_.length * 2;
  while (elapsed_ < end && broken_.empty()) {
    Advance(Millis(Pick(150)));
    StepDaemon(0);
    StepDaemon(kNext);
    Carry(SendNew(), 0);
    const int n = Pick(std::min<std::size_t>(calls_.size(), 20));
    Carry(Resend(calls() - 1 - n), kNext);
  }
}

void LedgerModel::AwaitOwner(int daemon) {
  constexpr int kMaxSteps = 100;
  for (int i = 0; i < kMaxSteps && !OwnsShard(daemon); ++i) {
    StepDaemon(daemon);
    Advance(Millis(300));
  }
}

bool LedgerModel::OwnsShard(int daemon) const {
  const Daemon& it = daemons_[daemon];
  const LeaseTerm term = it.lease->term();
  const std::optional<Tenure>& tenure = it.ledger->ownership().tenure();
  return tenure && tenure->record.lease == term.lease &&
         term.IsValid(Mono(daemon));
}

bool LedgerModel::IsUp(const AttemptState& attempt) const {
  const Daemon& it = daemons_[attempt.daemon];
  return it.instance == attempt.instance && !it.paused;
}

int LedgerModel::PickTarget() {
  const int first = Pick(daemons_.size());
  for (int i = first; i < first + kDaemons && Chance(90); ++i) {
    if (daemons_[i % kDaemons].ledger->ownership().tenure()) {
      return i % kDaemons;
    }
  }
  return first;
}

void LedgerModel::StepAttempt(int attempt) {
  AttemptState& it = attempts_[attempt];
  const int daemon = PickTarget();
  switch (it.stage) {
    case Stage::kSent:
      if (!daemons_[daemon].paused) {
        Arrive(attempt, daemon);
      }
      break;
    case Stage::kAdmitted:
      if (IsUp(it) && Chance(15)) {
        Finish(attempt, Verdict::kNotRun);
      } else if (IsUp(it)) {
        Check(attempt);
      }
      break;
    case Stage::kChecked:
      Run(attempt);  // The request may be on its way when its sender dies.
      break;
    case Stage::kRunning:
      if (IsUp(it)) {
        Finish(attempt, Chance(70) ? Verdict::kRan : Verdict::kMayHaveRun);
      }
      break;
    case Stage::kDone:
      break;
  }
}

void LedgerModel::StepOp() {
  if (ops_.empty()) {
    return;
  }
  const int n = Pick(ops_.size());
  Op& op = ops_[n];
  const bool can_answer = !op.answered && !daemons_[op.daemon].paused;
  if (can_answer && (op.result || Chance(20))) {
    Answer(&op, !op.result || Chance(30));
  } else if (!op.result) {
    Apply(&op);
  }
  if (op.answered && op.result) {
    ops_.erase(ops_.begin() + n);
  }
}

void LedgerModel::StepTrouble() {
  const int daemon = Pick(daemons_.size());
  const bool is_up = !daemons_[daemon].paused;
  const int kind = Pick(100);
  if (kind < 20 && !is_up) {
    SetPaused(daemon, false);
  } else if (kind < 25 && weather_.pauses) {
    SetPaused(daemon, true);
  } else if (kind < 45 && weather_.store_trouble && Chance(50)) {
    daemons_[daemon].cut_off = Chance(40);
  } else if (kind < 48 && weather_.kills) {
    Kill(daemon);
  } else if (kind < 52 && weather_.store_trouble) {
    SetStoreDown(Chance(30));
  } else if (kind < 58 && weather_.handovers && is_up) {
    Export(daemon);
  } else if (kind < 90 && !exports_.empty() && is_up) {
    const int n = Chance(80) ? 1 : Pick(exports_.size()) + 1;
    Import(static_cast<int>(exports_.size()) - n, daemon);
  }
}

void LedgerModel::Step() {
  const std::size_t recent =
      std::min<std::size_t>(calls_.size(), Chance(50) ? 4 : 80);
  const std::size_t near = std::min<std::size_t>(attempts_.size(), 8);
  switch (Pick(16)) {
    case 0:
      return Advance(Millis(Pick(Chance(5) ? 12000 : 600)));
    case 1:
    case 2:
    case 3:
      return StepDaemon(Pick(daemons_.size()));
    case 4:
    case 5:
      return StepOp();
    case 6:
      if (Chance(60)) {
        SendNew();
      }
      return;
    case 7:
    case 8:
      if (recent > 0) {
        Resend(static_cast<int>(calls_.size()) - 1 - Pick(recent));
      }
      return;
    case 9:
      return StepTrouble();
    default:
      if (near > 0) {
        const bool is_late = weather_.delays && Chance(10);
        const int n = Pick(is_late ? attempts_.size() : near);
        StepAttempt(static_cast<int>(attempts_.size()) - 1 - n);
      }
  }
}

}  // namespace cumin::test
