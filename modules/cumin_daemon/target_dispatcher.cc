#include "cumin_daemon/target_dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cumin_http/abort_on_disconnect.h"

namespace cumin {

namespace {

/** Longer than any caller waits, so that the state of an attempt is still known
    when a late message for it arrives. */
constexpr Duration kAttemptRetention = std::chrono::seconds(30);
constexpr std::size_t kMaxAttempts = 20000;
/** Maximum idle time of a pooled connection that is reused for an at-most-once
    call; 0 opens a new connection for each. */
constexpr Duration kMaxIdleAtMostOnce = std::chrono::milliseconds(0);
constexpr Duration kMaxConnectionIdle = std::chrono::seconds(5);
/** Added to the deadline that the target is given, for the transmission of its
    response. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);

}  // namespace

/** A call in the dispatch queue, with the wake-up of its coroutine. */
struct TargetDispatcher::QueuedCall final : DispatchCall,
                                            CallerWatch::Listener {
  explicit QueuedCall(const asio::any_io_executor& executor)
      : wake_up(executor) {}

  void OnCallerGone() override { wake_up.Notify(); }

  WakeUp wake_up;
  bool is_started = false;
  std::optional<Refusal> refusal;
};

TargetDispatcher::TargetDispatcher(DaemonContext& context)
    : context_(context),
      queue_(*this),
      attempts_(kAttemptRetention, kMaxAttempts) {}

Task<CallOutcome> TargetDispatcher::Run(const MeshCall& call,
                                        CallerWatch& caller,
                                        PeerResponsePacer* pacer) {
  CallLogBuffer call_log(context_.log, call.attempt);
  const MonoTime now = context_.clock.Now();
  std::optional<CallOutcome> refused = CheckTarget(call);
  if (!refused && call.kind == RouteKind::kAtMostOnce &&
      !attempts_.Begin(call.attempt, now)) {
    const AttemptState state = attempts_.Find(call.attempt);
    refused =
        FailedOutcome(state == AttemptState::kForbidden ? Verdict::kNotRun
                                                        : Verdict::kMayHaveRun,
                      RefusalReason::kKeyInProgress,
                      std::string("the attempt was received before and is ") +
                          ToString(state));
  }
  CallOutcome outcome;
  if (refused) {
    outcome = std::move(*refused);
  } else {
    outcome = co_await RunWithSlot(call, caller, pacer, call_log);
    if (call.kind == RouteKind::kAtMostOnce &&
        outcome.verdict == Verdict::kNotRun) {
      // Recorded so that the attempt is refused if it arrives again.
      attempts_.Forbid(call.attempt, context_.clock.Now());
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
  call_log.Add(line, context_.clock.Now());
  call_log.Close(failed);
  context_.metrics.CountOutcome(CallHop::kTarget, outcome.verdict,
                                outcome.refusal.reason);
  outcome.load = Load();
  outcome.has_load = true;
  co_return outcome;
}

AttemptState TargetDispatcher::Forbid(const std::string& attempt) {
  return attempts_.Forbid(attempt, context_.clock.Now());
}

void TargetDispatcher::OnAnnouncement() {
  const MonoTime now = context_.clock.Now();
  const auto& target = context_.announcements.last();
  const bool accepts_work =
      context_.announcements.IsReady(now) && !context_.is_draining;
  queue_.SetSlots(accepts_work ? target->slots : 0, now);
  if (!accepts_work) {
    queue_.RefuseAll(RefusalReason::kTargetLeaving,
                     "the target is draining or stopped announcing itself");
  }
}

void TargetDispatcher::Tick() {
  const MonoTime now = context_.clock.Now();
  OnAnnouncement();
  queue_.Expire(now);
  attempts_.Expire(now);
}

TargetLoad TargetDispatcher::Load() const {
  const MonoTime now = context_.clock.Now();
  TargetLoad load = queue_.Load(now);
  load.link_wait = context_.link.Wait();
  load.leaving = context_.is_draining || !context_.announcements.IsReady(now);
  return load;
}

void TargetDispatcher::OnStart(DispatchCall& call) {
  auto& waiting = static_cast<QueuedCall&>(call);
  waiting.is_started = true;
  waiting.wake_up.Notify();
}

void TargetDispatcher::OnRefuse(DispatchCall& call, const Refusal& refusal) {
  auto& waiting = static_cast<QueuedCall&>(call);
  waiting.refusal = refusal;
  waiting.wake_up.Notify();
}

std::optional<CallOutcome> TargetDispatcher::CheckTarget(const MeshCall& call) {
  if (call.service != context_.settings.service) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kNoTarget,
                         "the target beside this daemon is of service " +
                             context_.settings.service.str());
  }
  const MonoTime now = context_.clock.Now();
  const auto& target = context_.announcements.last();
  if (!target) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kTargetStarting,
                         "the target has not announced itself yet");
  }
  if (context_.is_draining || !context_.announcements.IsReady(now)) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kTargetLeaving,
                         "the target is draining or stopped announcing itself");
  }
  if (call.deadline <= now) {
    return FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                         "the deadline expired before the call was queued");
  }
  return std::nullopt;
}

Task<CallOutcome> TargetDispatcher::RunWithSlot(const MeshCall& call,
                                                CallerWatch& caller,
                                                PeerResponsePacer* pacer,
                                                CallLogBuffer& call_log) {
  QueuedCall waiting(context_.executor);
  waiting.operation = call.route;
  waiting.priority = call.priority;
  waiting.deadline = call.deadline;
  waiting.wanted_by = call.wanted_by;
  const MonoTime arrived = context_.clock.Now();
  if (pacer != nullptr) {
    const MonoTime ready_at = arrived + queue_.ExpectedWait(waiting, arrived) +
                              queue_.ExpectedTime(call.route, arrived);
    if (const std::optional<Refusal> link_refusal = pacer->Admit(ready_at)) {
      co_return FailedOutcome(link_refusal->verdict, link_refusal->reason,
                              link_refusal->detail, link_refusal->retry_after);
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
    const Duration waited = context_.clock.Now() - arrived;
    context_.metrics.Observe(CallHop::kQueue, call.route, waited);
    call_log.Add(EventLine("owner-queued").With("waited_ms", waited),
                 context_.clock.Now());
    if (waiting.refusal) {
      co_return FailedOutcome(Verdict::kNotRun, waiting.refusal->reason,
                              waiting.refusal->detail,
                              waiting.refusal->retry_after);
    }
    if (!waiting.is_started) {
      queue_.Cancel(waiting);
      co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                              caller.is_gone()
                                  ? "the caller closed its connection"
                                  : "no slot became free before the deadline");
    }
  }
  CallOutcome outcome;
  const MonoTime now = context_.clock.Now();
  if (caller.is_gone()) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                            "the caller closed its connection");
  } else if (call.kind == RouteKind::kAtMostOnce &&
             !attempts_.Dispatch(call.attempt, now)) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kShed,
                            "the attempt was forbidden while it waited");
  } else {
    outcome = co_await Exchange(call, caller, call_log);
    context_.metrics.Observe(CallHop::kTarget, call.route,
                             context_.clock.Now() - now);
    if (outcome.verdict != Verdict::kMayHaveRun) {
      attempts_.End(call.attempt, context_.clock.Now());
    }
  }
  queue_.Finish(
      waiting, context_.clock.Now(),
      outcome.verdict == Verdict::kRan && outcome.response.status < 500);
  co_return outcome;
}

Task<CallOutcome> TargetDispatcher::Exchange(const MeshCall& call,
                                             CallerWatch& caller,
                                             CallLogBuffer& call_log) {
  const MonoTime now = context_.clock.Now();
  const HttpRequest request = MakeRequest(call);
  ExchangeOptions options;
  options.timeout =
      std::chrono::duration_cast<Duration>(call.deadline - now) + kAnswerMargin;
  options.max_idle = call.kind == RouteKind::kAtMostOnce ? kMaxIdleAtMostOnce
                                                         : kMaxConnectionIdle;
  options.correlation_field = context_.names.attempt;
  options.correlation_value = call.attempt;
  ExchangeResult result;
  {
    AbortOnDisconnect guard(caller, call.kind != RouteKind::kAtMostOnce);
    result = co_await context_.connections.Exchange(
        context_.settings.target, request, options, &guard.abort());
  }
  call_log.Add(EventLine("owner-dispatched")
                   .With("instance", context_.announcements.last()->instance)
                   .With("end", ToString(result.end))
                   .With("reason", result.reason)
                   .With("fingerprint", ToString(FingerprintOf(call)))
                   .With("left_ms", call.deadline - now),
               context_.clock.Now());
  context_.metrics.CountTargetExchange(ToString(result.end));
  co_return ClassifyResult(std::move(result));
}

CallOutcome TargetDispatcher::ClassifyResult(ExchangeResult result) const {
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
  if (response.headers.Has(context_.names.not_executed)) {
    CallOutcome outcome = FailedOutcome(
        Verdict::kNotRun, RefusalReason::kTargetFailed,
        "the target reported that it did not run the call, status " +
            std::to_string(response.status));
    outcome.reached_target = response.status != 421;
    return outcome;
  }
  CallOutcome outcome;
  outcome.reached_target = true;
  const bool is_success = response.status >= 200 && response.status < 300;
  const bool is_encoded = response.headers.Has("Content-Encoding");
  if (is_success &&
      (is_encoded || !response.headers.Has(context_.names.digest))) {
    outcome = FailedOutcome(
        Verdict::kMayHaveRun, RefusalReason::kAnswerIncomplete,
        "the response is content-encoded or has no target digest");
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
  const Duration left = call.deadline - context_.clock.Now();
  request.headers.Set(
      context_.names.deadline_ms,
      std::to_string(std::max<std::int64_t>(1, ToMillis(left))));
  request.headers.Set(context_.names.target_instance,
                      context_.announcements.last()->instance);
  request.headers.Set(context_.names.caller_service, call.caller.str());
  return request;
}

}  // namespace cumin
