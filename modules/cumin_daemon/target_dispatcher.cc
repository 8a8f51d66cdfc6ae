#include "cumin_daemon/target_dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cumin_http/abort_on_disconnect.h"
#include "cumin_http/connect_probe.h"

namespace cumin {

namespace {

/** Longer than any caller waits, so that the state of an attempt is still known
    when a late message for it arrives. */
constexpr Duration kAttemptRetention = std::chrono::seconds(30);
constexpr std::size_t kMaxAttempts = 20000;
/** Maximum idle time of a pooled connection that is reused for an at-most-once
    call. A target that drops an idle connection leaves open whether the call on
    it ran, so this is a tenth of the shortest idle timeout that a target can
    announce (Keep-Alive counts whole seconds). */
constexpr Duration kMaxIdleAtMostOnce = std::chrono::milliseconds(100);
constexpr Duration kMaxConnectionIdle = std::chrono::seconds(5);
/** Added to the deadline that the target is given, for the transmission of its
    response. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);
/** A process that ends closes its connections at once. A call that was given up
    by its caller up to this long before can still be the cause. */
constexpr Duration kCrashNoticeTime = std::chrono::seconds(1);
/** A process that ends without closing its connections is noticed when its
    successor announces itself. */
constexpr Duration kRunRetention = std::chrono::seconds(10);
/** A process reports itself sooner than this after its start; an age beyond it
    comes from a clock that was set. */
constexpr Duration kMaxReportDelay = std::chrono::seconds(60);
constexpr double kBytesPerMegabit = 1e6 / 8;
/** Part of a link that requests may use before they delay others on it. */
constexpr double kUsableLinkPart = 0.6;
constexpr double kPercent = 100;
/** Nested calls start before all others: the runs that make them hold slots
    until they end. */
constexpr int kNestedPriority = -1;
/** Status of a process that is not the one named in the request. */
constexpr int kMisdirected = 421;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(100);
/** Calls that are just being sent to a target that has ended are refused within
    this time; they did not reach it. */
constexpr Duration kConnectSettleTime = std::chrono::milliseconds(5);
/** Delays of the further probes, for a process that closes a connection just
    before it ends. */
constexpr Duration kLaterProbes[] = {std::chrono::milliseconds(50),
                                     std::chrono::milliseconds(250)};

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
      attempts_(kAttemptRetention, kMaxAttempts),
      runs_(kRunRetention) {}

Task<CallOutcome> TargetDispatcher::Run(const MeshCall& call,
                                        CallerWatch& caller,
                                        PeerResponsePacer* pacer) {
  CallLogBuffer call_log(context_.log, call.attempt);
  const MonoTime now = context_.clock.Now();
  const RequestFingerprint fingerprint = FingerprintOf(call);
  if (call.suspicion) {
    context_.suspects.Import(*call.suspicion, now);
  }
  std::optional<CallOutcome> refused = CheckTarget(call);
  if (!refused && context_.suspects.IsQuarantined(fingerprint, now)) {
    refused = FailedOutcome(
        SuspectRefusal(SuspectDecision::kQuarantined, fingerprint));
  }
  if (!refused && RunsAtMostOnce(call.kind) &&
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
    outcome = co_await RunWithSlot(call, fingerprint, caller, pacer, call_log);
    if (RunsAtMostOnce(call.kind) && outcome.verdict == Verdict::kNotRun) {
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
  outcome.suspicion = context_.suspects.Find(fingerprint, context_.clock.Now());
  co_return outcome;
}

AttemptState TargetDispatcher::Forbid(const std::string& attempt) {
  return attempts_.Forbid(attempt, context_.clock.Now());
}

void TargetDispatcher::OnAnnouncement() {
  const MonoTime now = context_.clock.Now();
  const auto& target = context_.announcements.last();
  if (target) {
    const bool is_same = process_ && process_->instance == target->instance &&
                         process_->started_at == target->process_started_at;
    if (process_ && !is_same) {
      OnNewProcess();
    }
    process_ = TargetProcess{target->instance, target->process_started_at,
                             target->leaving};
  }
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
  runs_.Expire(now);
  context_.target_in_flight = queue_.in_flight();
}

TargetLoad TargetDispatcher::Load() const {
  const MonoTime now = context_.clock.Now();
  TargetLoad load = queue_.Load(now);
  load.link_wait = context_.link.Wait();
  load.leaving = context_.is_draining || !context_.announcements.IsReady(now);
  load.inbound_percent = InboundPercent(now);
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

Task<CallOutcome> TargetDispatcher::RunWithSlot(
    const MeshCall& call, const RequestFingerprint& fingerprint,
    CallerWatch& caller, PeerResponsePacer* pacer, CallLogBuffer& call_log) {
  QueuedCall waiting(context_.executor);
  waiting.operation = call.route;
  waiting.priority = PriorityOf(call);
  waiting.deadline = call.deadline;
  waiting.wanted_by = call.wanted_by;
  const MonoTime arrived = context_.clock.Now();
  if (pacer != nullptr) {
    const MonoTime ready_at = arrived + queue_.ExpectedWait(waiting, arrived) +
                              queue_.ExpectedTime(call.route, arrived);
    if (const std::optional<Refusal> link_refusal = pacer->Admit(ready_at)) {
      co_return FailedOutcome(*link_refusal);
    }
  }
  Refusal refusal;
  const DispatchDecision decision = queue_.Offer(waiting, arrived, &refusal);
  if (decision == DispatchDecision::kRefused) {
    co_return FailedOutcome(refusal);
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
  if (caller.is_gone()) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                            "the caller closed its connection");
  } else {
    outcome = co_await RunUnlessSuspect(call, fingerprint, caller, call_log);
  }
  queue_.Finish(
      waiting, context_.clock.Now(),
      outcome.verdict == Verdict::kRan && outcome.response.status < 500);
  co_return outcome;
}

Task<CallOutcome> TargetDispatcher::RunUnlessSuspect(
    const MeshCall& call, const RequestFingerprint& fingerprint,
    CallerWatch& caller, CallLogBuffer& call_log) {
  const MonoTime now = context_.clock.Now();
  // Decided now and not on arrival: the crash may have happened while the call
  // waited for its slot.
  const SuspectDecision decision =
      context_.suspects.Begin(call.service, fingerprint, now);
  const bool may_run = decision == SuspectDecision::kNotSuspect ||
                       decision == SuspectDecision::kRunAlone;
  if (!may_run) {
    co_return FailedOutcome(SuspectRefusal(decision, fingerprint));
  }
  CallOutcome outcome;
  if (RunsAtMostOnce(call.kind) && !attempts_.Dispatch(call.attempt, now)) {
    outcome = FailedOutcome(Verdict::kNotRun, RefusalReason::kShed,
                            "the attempt was forbidden while it waited");
  } else {
    const InFlightRequest request{fingerprint,
                                  decision == SuspectDecision::kRunAlone};
    outcome = co_await Exchange(call, request, caller, call_log);
    context_.metrics.Observe(CallHop::kTarget, call.route,
                             context_.clock.Now() - now);
    if (outcome.verdict != Verdict::kMayHaveRun) {
      attempts_.End(call.attempt, context_.clock.Now());
    }
  }
  if (decision == SuspectDecision::kRunAlone) {
    context_.suspects.Finish(call.service, fingerprint,
                             outcome.verdict == Verdict::kRan);
  }
  co_return outcome;
}

Task<CallOutcome> TargetDispatcher::Exchange(const MeshCall& call,
                                             const InFlightRequest& request,
                                             CallerWatch& caller,
                                             CallLogBuffer& call_log) {
  const MonoTime now = context_.clock.Now();
  const RequestFingerprint& fingerprint = request.fingerprint;
  const TargetRuns::RunId run = runs_.Begin(request, now);
  const HttpRequest message = MakeRequest(call);
  ExchangeOptions options;
  options.timeout =
      std::chrono::duration_cast<Duration>(call.deadline - now) + kAnswerMargin;
  options.max_idle =
      RunsAtMostOnce(call.kind) ? kMaxIdleAtMostOnce : kMaxConnectionIdle;
  options.correlation_field = context_.names.attempt;
  options.correlation_value = call.attempt;
  options.body = &call.request.body;
  ExchangeResult result;
  {
    AbortOnDisconnect guard(caller, !RunsAtMostOnce(call.kind));
    result = co_await context_.connections.Exchange(
        context_.settings.target, message, options, &guard.abort());
  }
  call_log.Add(EventLine("owner-dispatched")
                   .With("instance", context_.announcements.last()->instance)
                   .With("end", ToString(result.end))
                   .With("reason", result.reason)
                   .With("fingerprint", ToString(fingerprint))
                   .With("left_ms", call.deadline - now),
               context_.clock.Now());
  context_.metrics.CountTargetExchange(ToString(result.end));
  const ExchangeEnd end = result.end;
  CallOutcome outcome = ClassifyResult(std::move(result));
  if (outcome.reached_target && !caller.is_gone()) {
    RecordVersionSample(call, outcome, now);
  }
  const bool is_over =
      end == ExchangeEnd::kAnswered || end == ExchangeEnd::kNotSent;
  if (is_over) {
    runs_.EndAnswered(run);
  }
  const bool was_run = outcome.verdict == Verdict::kRan &&
                       outcome.response.status != kMisdirected;
  if (was_run) {
    context_.suspects.OnAnswered(fingerprint, context_.clock.Now());
  }
  const bool is_unexplained =
      !is_over && runs_.EndUnanswered(run, context_.clock.Now());
  if (is_unexplained && end == ExchangeEnd::kBroken) {
    co_await CheckForCrash();
  }
  co_return outcome;
}

int TargetDispatcher::InboundPercent(MonoTime now) const {
  const double usable =
      context_.settings.link_mbps * kBytesPerMegabit * kUsableLinkPart;
  return usable > 0 ? static_cast<int>(kPercent *
                                       context_.inbound.PerSecond(now) / usable)
                    : 0;
}

int TargetDispatcher::PriorityOf(const MeshCall& call) {
  if (call.priority == 0) {
    return call.priority;
  }
  context_.nested_calls.OnCall(call.route, call.caller);
  return context_.nested_calls.IsNested(call.route, context_.service_shares)
             ? kNestedPriority
             : call.priority;
}

void TargetDispatcher::RecordVersionSample(const MeshCall& call,
                                           const CallOutcome& outcome,
                                           MonoTime began) {
  const auto rollout = context_.rollouts.find(call.service);
  if (rollout == context_.rollouts.end() ||
      rollout->second.state != RolloutState::kActive) {
    return;
  }
  VersionSample& sample = context_.version_samples[call.route];
  sample.route = call.route;
  sample.answers += 1;
  const bool has_failed =
      outcome.verdict != Verdict::kRan || outcome.response.status >= 500;
  if (has_failed) {
    sample.failures += 1;
  } else if (context_.announcements.last()->warmup_remaining ==
             Duration::zero()) {
    sample.timed += 1;
    sample.total_time +=
        std::chrono::duration_cast<Duration>(context_.clock.Now() - began);
  }
}

Task<void> TargetDispatcher::CheckForCrash() {
  const MonoTime lost_at = context_.clock.Now();
  const bool is_gone = co_await IsTargetGone(lost_at);
  if (!is_gone && !is_checking_later_) {
    is_checking_later_ = true;
    asio::co_spawn(context_.executor, CheckForCrashLater(lost_at),
                   asio::detached);
  }
}

Task<bool> TargetDispatcher::IsTargetGone(MonoTime lost_at) {
  const ConnectProbe probe =
      co_await ProbeConnect(context_.settings.target, kProbeTimeout);
  if (probe != ConnectProbe::kRefused) {
    co_return false;
  }
  co_await SleepFor(kConnectSettleTime);
  RecordCrash(lost_at, kCrashNoticeTime);
  co_return true;
}

Task<void> TargetDispatcher::CheckForCrashLater(MonoTime lost_at) {
  for (const Duration delay : kLaterProbes) {
    co_await SleepFor(delay);
    const bool is_gone = co_await IsTargetGone(lost_at);
    if (is_gone) {
      break;
    }
  }
  is_checking_later_ = false;
}

void TargetDispatcher::OnNewProcess() {
  const MonoTime now = context_.clock.Now();
  if (process_->is_leaving) {
    // Ended as announced; what it left unanswered did not end it.
    (void)runs_.TakeUnanswered(now, Duration::zero());
    return;
  }
  // Calls that began after the new process did may be running in it.
  const auto age = std::chrono::duration_cast<Duration>(
      context_.clock.WallNow() -
      context_.announcements.last()->process_started_at);
  const bool is_plausible = age >= Duration::zero() && age <= kMaxReportDelay;
  RecordCrash(is_plausible ? now - age : now, kRunRetention);
}

void TargetDispatcher::RecordCrash(MonoTime lost_at, Duration within) {
  const MonoTime now = context_.clock.Now();
  const std::vector<InFlightRequest> in_flight =
      runs_.TakeUnanswered(lost_at, within);
  const auto& target = context_.announcements.last();
  const bool is_expected = target && target->leaving;
  if (in_flight.empty() || is_expected) {
    return;
  }
  // The time tells apart the crashes under successive daemons of this VM.
  crash_count_ += 1;
  const auto sequence =
      static_cast<std::uint64_t>(ToUnixMillis(context_.clock.WallNow())) +
      crash_count_;
  context_.suspects.OnCrash(TargetCrash{context_.settings.vm, sequence},
                            in_flight, now);
  std::vector<SuspectRecord> suspects;
  for (const InFlightRequest& it : in_flight) {
    const std::optional<SuspectRecord> record =
        context_.suspects.Find(it.fingerprint, now);
    if (record) {
      suspects.push_back(*record);
    }
  }
  context_.metrics.CountTargetCrash();
  context_.log.Write(
      EventLine("target-crashed")
          .With("instance", process_ ? process_->instance : "")
          .With("in_flight", static_cast<std::int64_t>(in_flight.size()))
          .With("suspects", static_cast<std::int64_t>(suspects.size())));
  if (crash_listener_ != nullptr && !suspects.empty()) {
    crash_listener_->OnTargetCrash(suspects);
  }
}

Refusal TargetDispatcher::SuspectRefusal(
    SuspectDecision decision, const RequestFingerprint& fingerprint) const {
  Refusal refusal = SuspectTable::RefusalFor(decision);
  const std::optional<SuspectRecord> record =
      context_.suspects.Find(fingerprint, context_.clock.Now());
  if (decision == SuspectDecision::kQuarantined && record) {
    refusal.retry_after = record->remaining;
  }
  return refusal;
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
    outcome.reached_target = response.status != kMisdirected;
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
  HttpRequest request = call.request.WithoutBody();
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
