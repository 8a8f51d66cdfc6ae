#include "cumin_proxy/order_path.h"

#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "cumin_core/stable_hash.h"
#include "cumin_proxy/dispatch_guard.h"
#include "cumin_proxy/shard_candidates.h"

namespace cumin {

namespace {

constexpr int kMaxTargets = 3;
constexpr int kMaxRedirects = 3;
/** A waiting call keeps a worker, so that waits are few: enough for a planned
    hand-over, not for the end of a lease. */
constexpr int kMaxPauses = 5;
constexpr Duration kPause = std::chrono::milliseconds(100);

/** Checks a token of the ledger at the moment of dispatch. */
class LedgerGuard final : public DispatchGuard {
 public:
  LedgerGuard(LedgerTable& ledger, const ShardId& shard,
              const DispatchToken& token)
      : ledger_(ledger), shard_(shard), token_(token) {}

  std::optional<Refusal> CheckDispatch() override {
    return ledger_.CheckDispatch(shard_, token_);
  }

 private:
  LedgerTable& ledger_;
  const ShardId& shard_;
  const DispatchToken& token_;
};

Attempt MakeAttempt(const Call& call) {
  const HttpRequest& request = call.request;
  const std::uint64_t hash =
      StableHash(call.operation.str() + '\n' + request.path + '?' +
                 request.query + '\n' + request.body);
  return Attempt{CallKey{call.customer, call.key}, hash, call.first_sent};
}

StoredAnswerPtr KeepAnswer(const CallResult& result) {
  if (result.verdict != Verdict::kRan) {
    return nullptr;
  }
  return new StoredAnswer(result.response.status,
                          result.response.headers.Get("Content-Type"),
                          result.response.body);
}

CallResult ReplayAnswer(const StoredAnswer& answer) {
  CallResult result;
  result.verdict = Verdict::kRan;
  result.response.status = answer.status();
  result.response.headers.Set("Content-Type", answer.content_type());
  result.response.body = answer.body();
  return result;
}

}  // namespace

OrderPath::OrderPath(Blackboard& board, LedgerTable& ledger, OwnerPath& owner,
                     RemotePath& remote)
    : board_(board),
      ledger_(ledger),
      owner_(owner),
      remote_(remote),
      replays_(board.metrics.GetCounter("ledger_replays_total")),
      redirects_(board.metrics.GetCounter("ledger_redirects_total")) {}

CallResult OrderPath::Execute(const Call& call) {
  const std::optional<ShardId> shard = ShardOf(call);
  if (!shard) {
    return CallResult::NotRun(RefusalReason::kUnknownRoute,
                              "the service is unknown");
  }
  Search search;
  search.owner = KnownOwner(*shard);
  std::optional<CallResult> uncertain;
  while (true) {
    CallResult result = Send(search.owner, call);
    if (result.verdict == Verdict::kMayHaveRun) {
      uncertain = result;
    }
    if (!ShouldGoOn(call, *shard, result, &search)) {
      // A later try that was not run says nothing of the earlier one.
      const bool was_uncertain =
          uncertain && result.verdict == Verdict::kNotRun;
      return was_uncertain ? *uncertain : result;
    }
  }
}

bool OrderPath::ShouldGoOn(const Call& call, const ShardId& shard,
                           const CallResult& result, Search* search) {
  if (result.verdict == Verdict::kRan) {
    return false;
  }
  switch (result.refusal.reason) {
    case RefusalReason::kNotShardOwner:
      redirects_.Add();
      if (!result.shard_owner.empty() && result.shard_owner != search->owner &&
          ++search->redirects <= kMaxRedirects) {
        Learn(shard, result.shard_owner);
        search->owner = result.shard_owner;
        return board_.clock.Now() < call.deadline;
      }
      search->redirects = 0;
      search->owner = PreferredOwner(shard);
      return Pause(call, search);
    case RefusalReason::kPeerUnreachable:
      Learn(shard, VmId());
      search->owner = PreferredOwner(shard);
      return result.verdict == Verdict::kNotRun && Pause(call, search);
    case RefusalReason::kNoConfiguration:
      // The owner has just started; the fleet learns of that meanwhile.
      Learn(shard, VmId());
      search->owner = PreferredOwner(shard);
      return Pause(call, search);
    case RefusalReason::kLeaseUnavailable:
    case RefusalReason::kKeyInProgress:
      return Pause(call, search);
    case RefusalReason::kConnectionLost:
      // The owner tells whether it ran; its answer was lost.
      return !std::exchange(search->was_resent, true) && Pause(call, search);
    default:
      return false;
  }
}

bool OrderPath::Pause(const Call& call, Search* search) const {
  const bool is_late = board_.clock.Now() + kPause >= call.deadline;
  if (is_late || ++search->pauses > kMaxPauses) {
    return false;
  }
  std::this_thread::sleep_for(kPause);
  return true;
}

CallResult OrderPath::Send(const VmId& owner, const Call& call) {
  if (owner == board_.settings.vm) {
    return ExecuteAsOwner(call);
  }
  for (const Member& it : board_.fleet.Members()) {
    if (it.vm == owner) {
      return remote_.Execute(it, call);
    }
  }
  return CallResult::NotRun(RefusalReason::kPeerUnreachable,
                            "no daemon can own the call's shard now");
}

CallResult OrderPath::ExecuteAsOwner(const Call& call) {
  const std::optional<ShardId> shard = ShardOf(call);
  if (!shard) {
    return CallResult::NotRun(RefusalReason::kUnknownRoute,
                              "the service is unknown");
  }
  ChooseRequest choice{call.service, {}};
  CallResult result;
  for (int i = 0; i < kMaxTargets; ++i) {
    const std::size_t tried = choice.tried.size();
    CallResult next = ExecuteOnce(call, *shard, &choice);
    const bool found_target = choice.tried.size() > tried;
    if (i > 0 && !found_target && next.verdict == Verdict::kNotRun) {
      return result;  // No other target is left; the last answer says more.
    }
    result = std::move(next);
    if (result.verdict != Verdict::kNotRun || !found_target ||
        board_.clock.Now() >= call.deadline) {
      return result;
    }
  }
  return result;
}

CallResult OrderPath::ExecuteOnce(const Call& call, const ShardId& shard,
                                  ChooseRequest* choice) {
  const AttemptDecision decision = ledger_.Begin(shard, MakeAttempt(call));
  if (const auto* refusal = std::get_if<Refusal>(&decision)) {
    CallResult result = CallResult::Refused(*refusal);
    if (refusal->reason == RefusalReason::kNotShardOwner) {
      const VmId known = ledger_.LastOwner(shard);
      result.shard_owner = known.empty() ? PreferredOwner(shard) : known;
    }
    return result;
  }
  if (const auto* answer = std::get_if<StoredAnswerPtr>(&decision)) {
    replays_.Add();
    return ReplayAnswer(**answer);
  }
  const auto& token = std::get<DispatchToken>(decision);
  LedgerGuard guard(ledger_, shard, token);
  Call admitted = call;
  admitted.is_admitted = true;
  admitted.ingress = board_.settings.vm;
  admitted.guard = &guard;
  admitted.attempt =
      AttemptId(call.attempt.str() + "." + std::to_string(token.serial));
  CallResult result = RunOnTarget(admitted, choice);
  ledger_.Finish(shard, token, result.verdict, KeepAnswer(result));
  return result;
}

CallResult OrderPath::RunOnTarget(const Call& call, ChooseRequest* choice) {
  const std::optional<AnnouncedTarget> own = board_.target.Current();
  const bool is_first = choice->tried.empty();
  if (is_first && own && own->service == call.service) {
    choice->tried.push_back(board_.settings.vm);
    return owner_.Execute(call);
  }
  Refusal refusal;
  const std::optional<Member> chosen = board_.router.Choose(
      *choice, board_.clock.Now(), board_.random, &refusal);
  if (!chosen) {
    return CallResult::Refused(refusal);
  }
  choice->tried.push_back(chosen->vm);
  CallResult result;
  if (chosen->vm == board_.settings.vm) {
    result = owner_.Execute(call);
  } else if (std::optional<Refusal> late = call.guard->CheckDispatch()) {
    result = CallResult::Refused(*late);
  } else {
    result = remote_.Execute(*chosen, call);
  }
  board_.router.Finish(chosen->vm, result, board_.clock.Now());
  return result;
}

std::optional<ShardId> OrderPath::ShardOf(const Call& call) const {
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  const Service* const service =
      snapshot ? snapshot->mesh().FindService(call.service) : nullptr;
  if (service == nullptr) {
    return std::nullopt;
  }
  const ShardMap map(service->name, service->ledger_shards, {});
  return map.ShardOf(CallKey{call.customer, call.key});
}

VmId OrderPath::PreferredOwner(const ShardId& shard) const {
  return ShardMap(shard.service, 1, ShardOwnerCandidates(board_, shard.service))
      .PreferredOwner(shard);
}

VmId OrderPath::KnownOwner(const ShardId& shard) const {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = owners_.find(shard);
    if (it != owners_.end()) {
      return it->second;
    }
  }
  return PreferredOwner(shard);
}

void OrderPath::Learn(const ShardId& shard, const VmId& owner) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (owner.empty()) {
    owners_.erase(shard);
  } else {
    owners_[shard] = owner;
  }
}

}  // namespace cumin
