#include "cumin_daemon/ingress.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace cumin {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/** Retry-After while no configuration has been loaded. */
constexpr Duration kNoConfigurationRetryAfter = std::chrono::milliseconds(200);
/** Retry-After while a newer version, which may have the route, is pending. */
constexpr Duration kStaleRoutesRetryAfter = std::chrono::milliseconds(200);
/** Retry-After while this daemon does not know how recent its configuration
    is; it asks its peers several times in this time. */
constexpr Duration kUndatedRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(100);
/** Maximum number of daemons tried for one attempt; each refusal costs a round
    trip. */
constexpr int kMaxTargetsTried = 4;
/** With less time than this another target is not tried. */
constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);
/** Time before the process exits in which the last answers are sent; the
    daemon beside the target answers up to 60 ms after the deadline. */
constexpr Duration kExitAnswerTime = std::chrono::milliseconds(200);
/** Callers turn to other daemons, or to this one after its restart. */
constexpr Duration kExitRetryAfter = std::chrono::milliseconds(500);

/** @returns the host in lower case, without the port */
std::string HostOf(const HttpRequest& request) {
  std::string host = request.headers.Get("Host");
  host.resize(std::min(host.size(), host.find(':')));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return host;
}

/** @returns the length in seconds with three decimals */
std::string ToSeconds(Duration length) {
  std::string text =
      std::to_string(std::chrono::duration<double>(length).count());
  text.resize(std::min(text.size(), text.find('.') + 4));
  return text;
}

HttpResponse MakeRefusal(int status, const std::string& detail,
                         Duration retry_after = Duration(0)) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "text/plain");
  if (retry_after > Duration::zero()) {
    response.headers.Set("Retry-After", ToSeconds(retry_after));
  }
  response.body = detail + "\n";
  return response;
}

bool IsSameField(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

/** @returns whether a daemon uses this status to guarantee "not run" */
bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 ||
         status == kUnavailable;
}

bool IsTargetFailure(const CallOutcome& outcome) {
  return outcome.verdict == Verdict::kRan && outcome.response.status >= 500;
}

}  // namespace

/** Targets tried and limits used by one call so far. */
struct Ingress::CallProgress {
  std::vector<VmId> tried_targets;
  int try_count = 0;
  int attempts = 0;
};

Ingress::Ingress(DaemonContext& context, TargetDispatcher& target,
                 PeerClient& peers, InboundAgent& inbound)
    : context_(context), target_(target), peers_(peers), inbound_(inbound) {}

Task<HttpResponse> Ingress::Handle(HttpRequest request, CallerWatch& caller) {
  CallLogBuffer call_log(context_.log,
                         request.headers.Get(context_.names.attempt));
  HttpResponse response = co_await Serve(std::move(request), caller, call_log);
  call_log.Add(EventLine("ingress-answered").With("status", response.status),
               context_.clock.Now());
  call_log.Close(response.status >= 400);
  context_.metrics.CountAnswer(response.status);
  co_return response;
}

HttpResponse Ingress::RefuseBody(const HttpRequest& head) {
  const MonoTime now = context_.clock.Now();
  const Refusal refusal = RefusalForBody();
  CallLogBuffer call_log(context_.log,
                         head.headers.Get(context_.names.attempt));
  call_log.Add(EventLine("ingress-refused")
                   .With("reason", "no-memory-for-body")
                   .With("path", head.path)
                   .With("length", head.headers.Get("Content-Length")),
               now);
  call_log.Close(true);
  context_.metrics.CountOutcome(CallHop::kIngress, refusal.verdict,
                                refusal.reason);
  context_.metrics.CountAnswer(kUnavailable);
  return MakeRefusal(
      kUnavailable,
      std::string(ToString(refusal.verdict)) + ": " + refusal.detail,
      refusal.retry_after);
}

Task<HttpResponse> Ingress::Serve(HttpRequest request, CallerWatch& caller,
                                  CallLogBuffer& call_log) {
  const MonoTime arrived_at = context_.clock.Now();
  const RefPtr<const RouteTable> routes = context_.routes;
  if (!context_.ready || !routes) {
    call_log.Add(
        EventLine("ingress-refused").With("reason", "no-configuration"),
        arrived_at);
    co_return MakeRefusal(kUnavailable, "no configuration loaded yet",
                          kNoConfigurationRetryAfter);
  }
  const std::string host = HostOf(request);
  const Route* const route = routes->Find(host, request.path);
  if (route == nullptr) {
    call_log.Add(
        EventLine("ingress-refused")
            .With("reason", "unknown-route")
            .With("host", host)
            .With("path", request.path)
            .With("version", static_cast<std::int64_t>(routes->version()))
            .With("newest_heard",
                  static_cast<std::int64_t>(context_.newest_known_version))
            .With("store_quiet_ms", arrived_at - context_.last_store_contact),
        arrived_at);
    if (context_.newest_known_version > routes->version()) {
      co_return MakeRefusal(kUnavailable,
                            "no route in this version; a newer one is pending",
                            kStaleRoutesRetryAfter);
    }
    co_return MakeRefusal(kNotFound, "no route for this host and path");
  }
  const KeyDecision key = AuthorizeRequest(*routes, *route, request);
  if (std::optional<HttpResponse> refused = RefuseKey(key, call_log)) {
    co_return std::move(*refused);
  }
  Result<MeshCall> call = MakeCall(std::move(request), *route, key.customer);
  if (!call) {
    const std::string reason = Describe(call.error());
    call_log.Add(EventLine("ingress-refused")
                     .With("reason", "bad-request")
                     .With("detail", reason),
                 arrived_at);
    co_return MakeRefusal(kBadRequest, reason);
  }
  call_log.Add(
      EventLine("ingress-accepted")
          .With("route", route->name)
          .With("service", call.value().service.str())
          .With("priority", call.value().priority)
          .With("wanted_in_ms", call.value().wanted_by - arrived_at)
          .With("version", static_cast<std::int64_t>(routes->version()))
          .With("left_ms", call.value().deadline - arrived_at),
      arrived_at);
  std::optional<HttpResponse> refused =
      RefuseQuarantined(call.value(), call_log);
  if (!refused) {
    refused = RefuseBeforeExit(call.value(), call_log);
  }
  if (!refused && key.customer != nullptr) {
    refused = RefuseAboveAllotment(*key.customer, call_log);
  }
  if (refused) {
    co_return std::move(*refused);
  }
  HttpResponse response = co_await ForwardCall(call.value(), *route,
                                               key.customer, caller, call_log);
  context_.metrics.Observe(CallHop::kIngress, route->name,
                           context_.clock.Now() - arrived_at);
  co_return response;
}

KeyDecision Ingress::AuthorizeRequest(const RouteTable& routes,
                                      const Route& route,
                                      HttpRequest& request) const {
  if (routes.customers().empty()) {
    return KeyDecision{};
  }
  std::vector<std::string> credentials;
  for (const HttpHeader& it : request.headers.all()) {
    if (IsSameField(it.name, context_.names.key)) {
      credentials.push_back(it.value);
    }
  }
  const KeyDecision key =
      CheckKey(routes, route, credentials, context_.names.key_scheme,
               context_.freshness.MayServeKeys(context_.clock.Now()));
  // The target sees no key, and no name but the one that belongs to the key.
  request.headers.Remove(context_.names.key);
  request.headers.Remove(context_.names.customer);
  if (key.customer != nullptr) {
    request.headers.Set(context_.names.customer, key.customer->name.str());
  }
  return key;
}

std::optional<HttpResponse> Ingress::RefuseKey(const KeyDecision& key,
                                               CallLogBuffer& call_log) {
  const bool is_rejected = key.verdict == KeyVerdict::kRejected;
  if (!is_rejected && key.verdict != KeyVerdict::kUndated) {
    return std::nullopt;
  }
  const MonoTime now = context_.clock.Now();
  const std::uint64_t version = context_.routes->version();
  // A newer version may have added the key.
  const bool is_behind = context_.newest_known_version > version;
  context_.metrics.CountKey(ToString(key.verdict));
  EventLine line("ingress-refused");
  line.With("reason", is_rejected ? "key-rejected" : "key-undated")
      .With("version", static_cast<std::int64_t>(version))
      .With("newest_heard",
            static_cast<std::int64_t>(context_.newest_known_version));
  if (const std::optional<Duration> age = context_.freshness.Age(now)) {
    line.With("dated_ms_ago", *age);
  }
  call_log.Add(line, now);
  if (!is_rejected) {
    return MakeRefusal(kUnavailable,
                       "not-run: it is not known whether the key still holds",
                       kUndatedRetryAfter);
  }
  if (is_behind) {
    return MakeRefusal(kUnavailable,
                       "not-run: the key is not in this version; a newer one "
                       "is pending",
                       kStaleRoutesRetryAfter);
  }
  return MakeRefusal(kUnauthorized, "no customer holds the key");
}

std::optional<HttpResponse> Ingress::RefuseAboveAllotment(
    const Customer& customer, CallLogBuffer& call_log) {
  const MonoTime now = context_.clock.Now();
  const std::optional<Refusal> refusal =
      context_.allotments.Admit(customer, context_.most_live_daemons, now);
  if (!refusal) {
    return std::nullopt;
  }
  call_log.Add(EventLine("ingress-refused")
                   .With("reason", ToString(refusal->reason))
                   .With("customer", customer.name.str())
                   .With("retry_after_ms", refusal->retry_after),
               now);
  context_.metrics.CountOutcome(CallHop::kIngress, refusal->verdict,
                                refusal->reason);
  return MakeRefusal(
      kTooManyRequests,
      std::string(ToString(refusal->verdict)) + ": " + refusal->detail,
      refusal->retry_after);
}

std::optional<HttpResponse> Ingress::RefuseBeforeExit(MeshCall& call,
                                                      CallLogBuffer& call_log) {
  if (!context_.exit_at) {
    return std::nullopt;
  }
  const MonoTime last_answer_at = *context_.exit_at - kExitAnswerTime;
  const bool may_outlast = call.deadline > last_answer_at;
  call.deadline = std::min(call.deadline, last_answer_at);
  if (!may_outlast || !context_.is_draining) {
    return std::nullopt;
  }
  const Refusal refusal =
      NotRun(RefusalReason::kShuttingDown,
             "this daemon exits before the call's deadline", kExitRetryAfter);
  call_log.Add(
      EventLine("ingress-refused").With("reason", ToString(refusal.reason)),
      context_.clock.Now());
  context_.metrics.CountOutcome(CallHop::kIngress, refusal.verdict,
                                refusal.reason);
  return MakeRefusal(
      kUnavailable,
      std::string(ToString(refusal.verdict)) + ": " + refusal.detail,
      refusal.retry_after);
}

std::optional<HttpResponse> Ingress::RefuseQuarantined(
    const MeshCall& call, CallLogBuffer& call_log) {
  if (context_.suspects.empty()) {
    return std::nullopt;
  }
  const MonoTime now = context_.clock.Now();
  const RequestFingerprint fingerprint = FingerprintOf(call);
  const std::optional<SuspectRecord> record =
      context_.suspects.Find(fingerprint, now);
  if (!record || !record->IsQuarantined()) {
    return std::nullopt;
  }
  const Refusal refusal =
      SuspectTable::RefusalFor(SuspectDecision::kQuarantined);
  call_log.Add(
      EventLine("ingress-refused")
          .With("reason", ToString(refusal.reason))
          .With("fingerprint", ToString(fingerprint))
          .With("crashes", static_cast<std::int64_t>(record->crashes.size()))
          .With("ends_in_ms", record->remaining),
      now);
  context_.metrics.CountOutcome(CallHop::kIngress, refusal.verdict,
                                refusal.reason);
  return MakeRefusal(
      kUnavailable,
      std::string(ToString(refusal.verdict)) + ": " + refusal.detail,
      record->remaining);
}

Result<MeshCall> Ingress::MakeCall(HttpRequest request, const Route& route,
                                   const Customer* customer) {
  MeshCall call;
  call.attempt = request.headers.Get(context_.names.attempt);
  if (call.attempt.empty()) {
    return Error{ErrorCode::kInvalid, "", 0, context_.names.attempt,
                 "is missing"};
  }
  const MonoTime now = context_.clock.Now();
  Duration time_budget = route.timeout;
  const std::string deadline = request.headers.Get(context_.names.deadline_ms);
  if (!deadline.empty()) {
    char* end = nullptr;
    const std::int64_t millis = std::strtoll(deadline.c_str(), &end, 10);
    if (*end != '\0' || millis < 0) {
      return Error{ErrorCode::kInvalid, "", 0, context_.names.deadline_ms,
                   "must be a whole number of milliseconds"};
    }
    time_budget = std::chrono::milliseconds(millis);
  }
  call.service = RouteTable::DrawService(route, context_.random.Unit());
  call.caller = context_.settings.service;
  call.route = route.name;
  call.kind = route.kind;
  call.priority = CombinePriorities(customer, route);
  call.deadline = now + std::min(route.timeout, time_budget);
  // The target latency counts from the caller's first attempt.
  call.wanted_by =
      now + route.target_latency - EstimateElapsed(route, time_budget);
  request.headers.RemoveHopByHop();
  call.request = std::move(request);
  return call;
}

Duration Ingress::EstimateElapsed(const Route& route, Duration time_budget) {
  if (time_budget_version_ != context_.routes->version()) {
    longest_time_budget_.clear();
    time_budget_version_ = context_.routes->version();
  }
  Duration& longest = longest_time_budget_[route.name];
  longest = std::max(longest, time_budget);
  return longest - time_budget;
}

Task<HttpResponse> Ingress::ForwardCall(MeshCall& call, const Route& route,
                                        const Customer* customer,
                                        CallerWatch& caller,
                                        CallLogBuffer& call_log) {
  context_.retry_budgets[call.service].OnCall(context_.RetryShare());
  const std::string customer_name =
      customer == nullptr ? std::string() : customer->name.str();
  VersionChoice version;
  const auto rollout = context_.rollouts.find(call.service);
  if (rollout != context_.rollouts.end()) {
    version = ChooseVersion(rollout->second, context_.random.Unit());
  }
  CallProgress progress;
  CallOutcome outcome =
      FailedOutcome(Verdict::kNotRun, RefusalReason::kNoTarget,
                    "no target available", kDefaultRetryAfter);
  while (true) {
    Refusal refusal;
    ChooseRequest choice;
    choice.service = call.service;
    choice.tried = progress.tried_targets;
    choice.is_large = IsLarge(call.kind);
    choice.is_upload = call.kind == RouteKind::kUpload;
    choice.version = version;
    const std::optional<Member> target = context_.chooser.Choose(
        choice, context_.clock.Now(), context_.random, &refusal);
    if (!target) {
      call_log.Add(EventLine("no-target")
                       .With("detail", refusal.detail)
                       .With("tried", static_cast<std::int64_t>(
                                          progress.tried_targets.size())),
                   context_.clock.Now());
      if (progress.try_count == 0) {
        outcome.refusal = refusal;
      }
      break;
    }
    if (!context_.suspects.empty()) {
      call.suspicion =
          context_.suspects.Find(FingerprintOf(call), context_.clock.Now());
    }
    progress.try_count += 1;
    progress.tried_targets.push_back(target->vm);
    CallOutcome next = co_await TryTarget(*target, call, caller, call_log);
    if (next.reached_target) {
      progress.attempts += 1;
    }
    outcome = std::move(next);
    if (outcome.suspicion) {
      context_.suspects.Import(*outcome.suspicion, context_.clock.Now());
    }
    if (caller.is_gone() || !MayRetry(call, route, outcome, progress)) {
      break;
    }
  }
  context_.metrics.CountOutcome(CallHop::kIngress, outcome.verdict,
                                outcome.refusal.reason);
  if (outcome.verdict == Verdict::kNotRun && !customer_name.empty()) {
    context_.allotments.Refund(CustomerId(customer_name));
  }
  HttpResponse answer = MakeResponse(call, outcome);
  co_return answer;
}

Task<CallOutcome> Ingress::TryTarget(const Member& target, const MeshCall& call,
                                     CallerWatch& caller,
                                     CallLogBuffer& call_log) {
  CallOutcome outcome;
  if (target.vm == context_.settings.vm) {
    outcome = co_await target_.Run(call, caller, nullptr);
  } else {
    std::optional<CallOutcome> refused = co_await AwaitRoom(target, call);
    if (refused) {
      outcome = std::move(*refused);
    } else {
      outcome = co_await peers_.Run(target, call, caller, call_log);
    }
  }
  const MonoTime now = context_.clock.Now();
  context_.chooser.Finish(target.vm);
  if (outcome.has_load) {
    context_.chooser.OnLoad(target.vm, outcome.load, now);
  }
  const RefusalReason reason = outcome.refusal.reason;
  const bool is_target_fault = reason == RefusalReason::kConnectionLost ||
                               reason == RefusalReason::kTargetFailed ||
                               reason == RefusalReason::kAnswerIncomplete;
  if (reason == RefusalReason::kPeerUnreachable ||
      reason == RefusalReason::kNoTarget) {
    context_.chooser.OnUnreachable(target.vm, now);
  } else if (is_target_fault || IsTargetFailure(outcome)) {
    context_.chooser.OnFailure(target.vm, now);
  } else if (!caller.is_gone()) {
    context_.chooser.OnSuccess(target.vm);
  }
  EventLine line("tried");
  line.With("target", target.vm.str())
      .With("verdict", ToString(outcome.verdict));
  if (outcome.verdict != Verdict::kRan) {
    line.With("reason", ToString(reason))
        .With("detail", outcome.refusal.detail);
  }
  call_log.Add(line, now);
  co_return outcome;
}

Task<std::optional<CallOutcome>> Ingress::AwaitRoom(const Member& target,
                                                    const MeshCall& call) {
  const std::size_t n = call.request.body.size();
  if (call.kind != RouteKind::kUpload || n < InboundAgent::kLargeBytes) {
    co_return std::nullopt;
  }
  const auto left = std::chrono::duration_cast<Duration>(call.deadline -
                                                         context_.clock.Now());
  const InboundGrant grant = co_await inbound_.Ask(target.vm, n, left);
  if (!grant.is_granted) {
    co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kShed,
                            "the link of the target's VM is full", grant.wait);
  }
  if (grant.wait > Duration::zero()) {
    co_await SleepFor(grant.wait);
  }
  co_return std::nullopt;
}

bool Ingress::MayRetry(const MeshCall& call, const Route& route,
                       const CallOutcome& outcome,
                       const CallProgress& progress) {
  const bool is_answer =
      outcome.verdict == Verdict::kRan && !IsTargetFailure(outcome);
  if (is_answer || progress.try_count >= kMaxTargetsTried) {
    return false;
  }
  if (outcome.verdict != Verdict::kNotRun && !route.IsRepeatable()) {
    return false;
  }
  const bool is_quarantined =
      outcome.suspicion && outcome.suspicion->IsQuarantined();
  if (is_quarantined) {
    return false;
  }
  if (context_.clock.Now() + kMinRetryTime >= call.deadline) {
    return false;
  }
  // A try that did not reach the target neither counts as an attempt nor uses
  // the retry budget.
  if (!outcome.reached_target) {
    return true;
  }
  if (progress.attempts >= route.attempts) {
    return false;
  }
  const bool is_allowed =
      context_.retry_budgets[call.service].TryTake(outcome.verdict);
  context_.metrics.CountRetry(is_allowed);
  return is_allowed;
}

HttpResponse Ingress::MakeResponse(const MeshCall& call,
                                   CallOutcome& outcome) const {
  if (outcome.verdict == Verdict::kRan) {
    if (!IsNotRunStatus(outcome.response.status)) {
      return std::move(outcome.response);
    }
    // Forwarded as they are, these would guarantee that the call did not run.
    return MakeRefusal(kBadGateway,
                       "the target responded with status " +
                           std::to_string(outcome.response.status));
  }
  const std::string detail =
      std::string(ToString(outcome.verdict)) + ": " + outcome.refusal.detail;
  if (outcome.verdict == Verdict::kNotRun) {
    return MakeRefusal(
        kUnavailable, detail,
        std::max(kDefaultRetryAfter, outcome.refusal.retry_after));
  }
  const bool is_late = context_.clock.Now() + kMinRetryTime >= call.deadline;
  return MakeRefusal(is_late ? kGatewayTimeout : kBadGateway, detail);
}

}  // namespace cumin
