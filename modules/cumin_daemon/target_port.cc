#include <algorithm>
#include <optional>
#include <utility>

#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/abort_on_disconnect.h"

namespace cumin {

namespace {

/** Longer than any caller waits, so that no late message finds its attempt
    forgotten. */
constexpr Duration kKeepAttemptsFor = std::chrono::seconds(30);
constexpr std::size_t kMaxAttempts = 20000;
/** A kept connection is used for calls that must not run twice only when it was
    used this recently. */
constexpr Duration kFreshForAtMostOnce = std::chrono::milliseconds(0);
constexpr Duration kMaxIdle = std::chrono::seconds(5);
/** The answer may need this much longer than the target's own limit. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);

}  // namespace

/** A call in the queue and the coroutine that waits for it. */
struct TargetDispatcher::Waiting final : DispatchCall, CallerWatch::Listener {
  explicit Waiting(const asio::any_io_executor& executor) : wake_up(executor) {}

  void OnCallerGone() override { wake_up.Notify(); }

  WakeUp wake_up;
  bool is_started = false;
  std::optional<Refusal> refusal;
};

TargetDispatcher::TargetDispatcher(DaemonContext& board)
    : board_(board), queue_(*this), attempts_(kKeepAttemptsFor, kMaxAttempts) {}

Task<CallOutcome> TargetDispatcher::Run(const MeshCall& call,
                                        CallerWatch& caller,
                                        PeerResponsePacer* delivery) {
  CallLogBuffer story(board_.log, call.attempt);
  const MonoTime now = board_.clock.Now();
  std::optional<CallOutcome> refused = CheckTarget(call);
  if (!refused && call.kind == RouteKind::kAtMostOnce &&
      !attempts_.Begin(call.attempt, now)) {
    const AttemptState state = attempts_.Find(call.attempt);
    refused =
        FailedOutcome(state == AttemptState::kForbidden ? Verdict::kNotRun
                                                        : Verdict::kMayHaveRun,
                      RefusalReason::kKeyInProgress,
                      std::string("the attempt is ") + ToString(state));
  }
  CallOutcome outcome;
  if (refused) {
    outcome = std::move(*refused);
  } else {
    outcome = co_await RunWithSlot(call, caller, delivery, story);
    if (call.kind == RouteKind::kAtMostOnce &&
        outcome.verdict == Verdict::kNotRun) {
      // Kept, so that the refusal stays true if the attempt comes once more.
      attempts_.Forbid(call.attempt, board_.clock.Now());
    }
  }
  const bool failed = outcome.verdict != Verdict::kRan;
  EventLine line("owner-end");
  line.With("verdict", ToString(outcome.verdict))
      .With("service", call.service.str())
      .With("in_flight", queue_.in_flight())
      .With("queued", queue_.queued());
  if (failed) {
    line.With("reason", ToString(outcome.refusal.reason))
        .With("detail", outcome.refusal.detail);
  } else {
    line.With("status", outcome.response.status)
        .With("bytes", static_cast<std::int64_t>(outcome.response.body.size()));
  }
  story.Add(line, board_.clock.Now());
  story.Close(failed);
  board_.metrics.CountOutcome(CallHop::kTarget, outcome.verdict,
                              outcome.refusal.reason);
  outcome.load = Load();
  outcome.has_load = true;
  co_return outcome;
}

AttemptState TargetDispatcher::Forbid(const std::string& attempt) {
  return attempts_.Forbid(attempt, board_.clock.Now());
}

void TargetDispatcher::OnAnnouncement() {
  const MonoTime now = board_.clock.Now();
  const auto& target = board_.announcements.last();
  const bool takes_work = board_.announcements.IsReady(now) && !board_.leaving;
  queue_.SetSlots(takes_work ? target->slots : 0, now);
  if (!takes_work) {
    queue_.RefuseAll(RefusalReason::kTargetLeaving, "the target leaves");
  }
}

void TargetDispatcher::Tick() {
  const MonoTime now = board_.clock.Now();
  OnAnnouncement();
  queue_.Expire(now);
  attempts_.Expire(now);
}

TargetLoad TargetDispatcher::Load() const {
  const MonoTime now = board_.clock.Now();
  TargetLoad load = queue_.Load(now);
  load.link_wait = board_.link.Wait();
  load.leaving = board_.leaving || !board_.announcements.IsReady(now);
  return load;
}

void TargetDispatcher::OnStart(DispatchCall& call) {
  auto& waiting = static_cast<Waiting&>(call);
  waiting.is_started = true;
  waiting.wake_up.Notify();
}

void TargetDispatcher::OnRefuse(DispatchCall& call, const Refusal& refusal) {
  auto& waiting = static_cast<Waiting&>(call);
  waiting.refusal = refusal;
  waiting.wake_up.Notify();
}

std::optional<CallOutcome> TargetDispatcher::CheckTarget(const MeshCall& call) {
  if (call.service != board_.settings.service) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kNoTarget,
                         "the target beside this daemon is of service " +
                             board_.settings.service.str());
  }
  const MonoTime now = board_.clock.Now();
  const auto& target = board_.announcements.last();
  if (!target) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kTargetStarting,
                         "the target has not announced itself yet");
  }
  if (board_.leaving || !board_.announcements.IsReady(now)) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kTargetLeaving,
                         "the target takes no new work");
  }
  if (call.deadline <= now) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                         "no time is left");
  }
  return std::nullopt;
}

Task<CallOutcome> TargetDispatcher::RunWithSlot(const MeshCall& call,
                                                CallerWatch& caller,
                                                PeerResponsePacer* delivery,
                                                CallLogBuffer& story) {
  Waiting waiting(board_.executor);
  waiting.operation = call.route;
  waiting.priority = call.priority;
  waiting.deadline = call.deadline;
  waiting.wanted_by = call.wanted_by;
  const MonoTime arrived = board_.clock.Now();
  if (delivery != nullptr) {
    const MonoTime ready_at = arrived + queue_.ExpectedWait(waiting, arrived) +
                              queue_.ExpectedTime(call.route, arrived);
    if (const std::optional<Refusal> full = delivery->Admit(ready_at)) {
      co_return FailedOutcome(full->verdict, full->reason, full->detail,
                              full->retry_after);
    }
  }
  Refusal refusal;
  const DispatchDecision decision = queue_.Offer(waiting, arrived, &refusal);
  if (decision == DispatchDecision::kRefused) {
    co_return FailedOutcome(refusal.verdict, refusal.reason, refusal.detail,
                            refusal.retry_after);
  }
  if (decision == DispatchDecision::kQueued) {
    caller.SetListener(&waiting);
    const auto limit =
        std::chrono::duration_cast<Duration>(call.deadline - arrived);
    co_await waiting.wake_up.WaitFor(limit);
    caller.SetListener(nullptr);
    const Duration waited = board_.clock.Now() - arrived;
    board_.metrics.Observe(CallHop::kQueue, call.route, waited);
    story.Add(EventLine("owner-queued").With("waited_ms", waited),
              board_.clock.Now());
    if (waiting.refusal) {
      co_return FailedOutcome(Verdict::kNotRun, waiting.refusal->reason,
                              waiting.refusal->detail,
                              waiting.refusal->retry_after);
    }
    if (!waiting.is_started) {
      queue_.Cancel(waiting);
      co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                              caller.is_gone() ? "the caller has gone"
                                               : "no slot came free in time");
    }
  }
  CallOutcome outcome;
  const MonoTime now = board_.clock.Now();
  if (caller.is_gone()) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                            "the caller has gone");
  } else if (call.kind == RouteKind::kAtMostOnce &&
             !attempts_.Dispatch(call.attempt, now)) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kShed,
                            "the attempt was forbidden while it waited");
  } else {
    outcome = co_await Exchange(call, caller, story);
    board_.metrics.Observe(CallHop::kTarget, call.route,
                           board_.clock.Now() - now);
    if (outcome.verdict != Verdict::kMayHaveRun) {
      attempts_.End(call.attempt, board_.clock.Now());
    }
  }
  queue_.Finish(
      waiting, board_.clock.Now(),
      outcome.verdict == Verdict::kRan && outcome.response.status < 500);
  co_return outcome;
}

Task<CallOutcome> TargetDispatcher::Exchange(const MeshCall& call,
                                             CallerWatch& caller,
                                             CallLogBuffer& story) {
  const MonoTime now = board_.clock.Now();
  const HttpRequest request = MakeRequest(call);
  ExchangeOptions options;
  options.timeout =
      std::chrono::duration_cast<Duration>(call.deadline - now) + kAnswerMargin;
  options.max_idle =
      call.kind == RouteKind::kAtMostOnce ? kFreshForAtMostOnce : kMaxIdle;
  options.correlation_field = board_.names.attempt;
  options.correlation_value = call.attempt;
  ExchangeResult result;
  {
    AbortOnDisconnect guard(caller, call.kind != RouteKind::kAtMostOnce);
    result = co_await board_.connections.Exchange(
        board_.settings.target, request, options, &guard.abort());
  }
  story.Add(EventLine("owner-dispatched")
                .With("instance", board_.announcements.last()->instance)
                .With("end", ToString(result.end))
                .With("reason", result.reason)
                .With("left_ms", call.deadline - now),
            board_.clock.Now());
  co_return Judge(std::move(result));
}

CallOutcome TargetDispatcher::Judge(ExchangeResult result) const {
  if (result.end == ExchangeEnd::kNotSent) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kTargetFailed,
                         result.reason);
  }
  if (result.end != ExchangeEnd::kAnswered) {
    CallOutcome outcome = FailedOutcome(Verdict::kMayHaveRun,
                                        result.end == ExchangeEnd::kTimedOut
                                            ? RefusalReason::kDeadlineExpired
                                            : RefusalReason::kConnectionLost,
                                        result.reason);
    outcome.reached_target = true;
    return outcome;
  }
  HttpResponse& response = result.response;
  if (response.headers.Has(board_.names.not_executed)) {
    CallOutcome outcome = FailedOutcome(
        Verdict::kNotRun, RefusalReason::kTargetFailed,
        "the target did not run it, status " + std::to_string(response.status));
    outcome.reached_target = response.status != 421;
    return outcome;
  }
  CallOutcome outcome;
  outcome.reached_target = true;
  const bool is_success = response.status >= 200 && response.status < 300;
  const bool is_encoded = response.headers.Has("Content-Encoding");
  if (is_success &&
      (is_encoded || !response.headers.Has(board_.names.digest))) {
    outcome =
        FailedOutcome(Verdict::kMayHaveRun, RefusalReason::kAnswerIncomplete,
                      "the answer is not the target's own");
    outcome.reached_target = true;
    return outcome;
  }
  response.headers.RemoveHopByHop();
  outcome.verdict = Verdict::kRan;
  outcome.response = std::move(response);
  return outcome;
}

HttpRequest TargetDispatcher::MakeRequest(const MeshCall& call) const {
  HttpRequest request = call.request;
  const Duration left = call.deadline - board_.clock.Now();
  request.headers.Set(
      board_.names.deadline_ms,
      std::to_string(std::max<std::int64_t>(1, ToMillis(left))));
  request.headers.Set(board_.names.target_instance,
                      board_.announcements.last()->instance);
  request.headers.Set(board_.names.caller_service, call.caller.str());
  return request;
}

}  // namespace cumin
