#include "cumin_daemon/ingress.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace cumin {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/** Before the first configuration a caller may come back after this time. */
constexpr Duration kStartingRetryAfter = std::chrono::milliseconds(200);
/** While a newer version, which may have the route, is on its way here. */
constexpr Duration kBehindRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(100);
/** Daemons that one attempt is offered to at most; each that refuses costs a
    round trip. */
constexpr int kMaxOffers = 4;
/** Less time than this is no chance for another target. */
constexpr Duration kMinTimeToRetry = std::chrono::milliseconds(20);

/** @returns the host without a port, in lower case */
std::string HostOf(const HttpRequest& request) {
  std::string host = request.headers.Get("Host");
  host.resize(std::min(host.size(), host.find(':')));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return host;
}

std::string ToSeconds(Duration length) {
  std::string text =
      std::to_string(std::chrono::duration<double>(length).count());
  text.resize(std::min(text.size(), text.find('.') + 4));
  return text;
}

HttpResponse Refuse(int status, const std::string& detail,
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

/** @returns true for a status by which this daemon promises "not run" */
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 ||
         status == kUnavailable;
}

bool IsTargetFailure(const CallOutcome& outcome) {
  return outcome.verdict == Verdict::kRan && outcome.response.status >= 500;
}

}  // namespace

/** What one call has used up so far. */
struct Ingress::Attempts {
  std::vector<VmId> tried;
  int offers = 0;
  int reached_targets = 0;
};

Ingress::Ingress(DaemonContext& board, TargetDispatcher& target,
                 PeerClient& peers)
    : board_(board), target_(target), peers_(peers) {}

Task<HttpResponse> Ingress::Handle(HttpRequest request, CallerWatch& caller) {
  CallLogBuffer story(board_.log, request.headers.Get(board_.names.attempt));
  HttpResponse response = co_await Serve(std::move(request), caller, story);
  story.Add(EventLine("ingress-answered").With("status", response.status),
            board_.clock.Now());
  story.Close(response.status >= 400);
  board_.metrics.CountAnswer(response.status);
  co_return response;
}

Task<HttpResponse> Ingress::Serve(HttpRequest request, CallerWatch& caller,
                                  CallLogBuffer& story) {
  const MonoTime arrived = board_.clock.Now();
  const RefPtr<const RouteTable> routes = board_.routes;
  if (!board_.ready || !routes) {
    story.Add(EventLine("ingress-refused").With("reason", "no-configuration"),
              arrived);
    co_return Refuse(kUnavailable, "no configuration yet", kStartingRetryAfter);
  }
  const std::string host = HostOf(request);
  const Route* const route = routes->Find(host, request.path);
  if (route == nullptr) {
    story.Add(EventLine("ingress-refused")
                  .With("reason", "unknown-route")
                  .With("host", host)
                  .With("path", request.path)
                  .With("version", static_cast<std::int64_t>(routes->version()))
                  .With("newest_heard",
                        static_cast<std::int64_t>(board_.newest_known_version))
                  .With("store_quiet_ms", arrived - board_.store_heard),
              arrived);
    if (board_.newest_known_version > routes->version()) {
      co_return Refuse(kUnavailable, "a newer configuration is on its way",
                       kBehindRetryAfter);
    }
    co_return Refuse(kNotFound, "no route for this host and path");
  }
  const Result<MeshCall> call = MakeCall(std::move(request), *route);
  if (!call) {
    const std::string reason = Describe(call.error());
    story.Add(EventLine("ingress-refused")
                  .With("reason", "bad-request")
                  .With("detail", reason),
              arrived);
    co_return Refuse(kBadRequest, reason);
  }
  story.Add(EventLine("ingress-accepted")
                .With("route", route->name)
                .With("service", call.value().service.str())
                .With("priority", call.value().priority)
                .With("wanted_in_ms", call.value().wanted_by - arrived)
                .With("version", static_cast<std::int64_t>(routes->version()))
                .With("left_ms", call.value().deadline - arrived),
            arrived);
  HttpResponse response = co_await Carry(call.value(), *route, caller, story);
  board_.metrics.Observe(CallHop::kIngress, route->name,
                         board_.clock.Now() - arrived);
  co_return response;
}

Result<MeshCall> Ingress::MakeCall(HttpRequest request, const Route& route) {
  MeshCall call;
  call.attempt = request.headers.Get(board_.names.attempt);
  if (call.attempt.empty()) {
    return Error{ErrorCode::kInvalid, "", 0, board_.names.attempt,
                 "is missing"};
  }
  const MonoTime now = board_.clock.Now();
  Duration patience = route.timeout;
  const std::string deadline = request.headers.Get(board_.names.deadline_ms);
  if (!deadline.empty()) {
    char* end = nullptr;
    const std::int64_t millis = std::strtoll(deadline.c_str(), &end, 10);
    if (*end != '\0' || millis < 0) {
      return Error{ErrorCode::kInvalid, "", 0, board_.names.deadline_ms,
                   "must be a whole number of milliseconds"};
    }
    patience = std::chrono::milliseconds(millis);
  }
  call.service = RouteTable::DrawService(route, board_.random.Unit());
  call.caller = board_.settings.service;
  call.route = route.name;
  call.kind = route.kind;
  call.priority = route.priority;
  call.deadline = now + std::min(route.timeout, patience);
  call.wanted_by = now + route.target_latency - ElapsedBefore(route, patience);
  request.headers.RemoveHopByHop();
  call.request = std::move(request);
  return call;
}

Duration Ingress::ElapsedBefore(const Route& route, Duration patience) {
  if (patience_version_ != board_.routes->version()) {
    longest_patience_.clear();
    patience_version_ = board_.routes->version();
  }
  Duration& longest = longest_patience_[route.name];
  longest = std::max(longest, patience);
  return longest - patience;
}

Task<HttpResponse> Ingress::Carry(const MeshCall& call, const Route& route,
                                  CallerWatch& caller, CallLogBuffer& story) {
  board_.retry_budgets[call.service].OnCall();
  Attempts attempts;
  CallOutcome outcome =
      FailedOutcome(Verdict::kNotRun, RefusalReason::kNoTarget, "no target",
                    kDefaultRetryAfter);
  while (true) {
    Refusal refusal;
    ChooseRequest choice;
    choice.service = call.service;
    choice.tried = attempts.tried;
    choice.is_large = call.kind == RouteKind::kDownload;
    const std::optional<Member> target = board_.chooser.Choose(
        choice, board_.clock.Now(), board_.random, &refusal);
    if (!target) {
      story.Add(
          EventLine("no-target")
              .With("detail", refusal.detail)
              .With("tried", static_cast<std::int64_t>(attempts.tried.size())),
          board_.clock.Now());
      if (attempts.offers == 0) {
        outcome.refusal = refusal;
      }
      break;
    }
    attempts.offers += 1;
    attempts.tried.push_back(target->vm);
    CallOutcome next = co_await RunAt(*target, call, caller, story);
    if (next.reached_target) {
      attempts.reached_targets += 1;
    }
    outcome = std::move(next);
    if (caller.is_gone() || !MayTryAgain(call, route, outcome, attempts)) {
      break;
    }
  }
  board_.metrics.CountOutcome(CallHop::kIngress, outcome.verdict,
                              outcome.refusal.reason);
  HttpResponse answer = Answer(call, outcome);
  co_return answer;
}

Task<CallOutcome> Ingress::RunAt(const Member& target, const MeshCall& call,
                                 CallerWatch& caller, CallLogBuffer& story) {
  CallOutcome outcome;
  if (target.vm == board_.settings.vm) {
    outcome = co_await target_.Run(call, caller, nullptr);
  } else {
    outcome = co_await peers_.Run(target, call, caller, story);
  }
  const MonoTime now = board_.clock.Now();
  board_.chooser.Finish(target.vm);
  if (outcome.has_load) {
    board_.chooser.OnLoad(target.vm, outcome.load, now);
  }
  const RefusalReason reason = outcome.refusal.reason;
  const bool is_unwell = reason == RefusalReason::kConnectionLost ||
                         reason == RefusalReason::kTargetFailed ||
                         reason == RefusalReason::kAnswerIncomplete;
  if (reason == RefusalReason::kPeerUnreachable ||
      reason == RefusalReason::kNoTarget) {
    board_.chooser.OnUnreachable(target.vm, now);
  } else if (is_unwell || IsTargetFailure(outcome)) {
    board_.chooser.OnFailure(target.vm, now);
  } else if (!caller.is_gone()) {
    board_.chooser.OnSuccess(target.vm);
  }
  EventLine line("tried");
  line.With("target", target.vm.str())
      .With("verdict", ToString(outcome.verdict));
  if (outcome.verdict != Verdict::kRan) {
    line.With("reason", ToString(reason))
        .With("detail", outcome.refusal.detail);
  }
  story.Add(line, now);
  co_return outcome;
}

bool Ingress::MayTryAgain(const MeshCall& call, const Route& route,
                          const CallOutcome& outcome,
                          const Attempts& attempts) {
  const bool is_answer =
      outcome.verdict == Verdict::kRan && !IsTargetFailure(outcome);
  if (is_answer || attempts.offers >= kMaxOffers) {
    return false;
  }
  if (outcome.verdict != Verdict::kNotRun && !route.IsRepeatable()) {
    return false;
  }
  if (board_.clock.Now() + kMinTimeToRetry >= call.deadline) {
    return false;
  }
  if (!outcome.reached_target) {
    return true;
  }
  if (attempts.reached_targets >= route.attempts) {
    return false;
  }
  const bool is_allowed =
      board_.retry_budgets[call.service].TryTake(outcome.verdict);
  board_.metrics.CountRetry(is_allowed);
  return is_allowed;
}

HttpResponse Ingress::Answer(const MeshCall& call, CallOutcome& outcome) const {
  if (outcome.verdict == Verdict::kRan) {
    if (!IsPromise(outcome.response.status)) {
      return std::move(outcome.response);
    }
    // Passed on, these would promise that the call did not run.
    return Refuse(kBadGateway, "the target failed with status " +
                                   std::to_string(outcome.response.status));
  }
  const std::string detail =
      std::string(ToString(outcome.verdict)) + ": " + outcome.refusal.detail;
  if (outcome.verdict == Verdict::kNotRun) {
    return Refuse(kUnavailable, detail,
                  std::max(kDefaultRetryAfter, outcome.refusal.retry_after));
  }
  const bool is_late = board_.clock.Now() + kMinTimeToRetry >= call.deadline;
  return Refuse(is_late ? kGatewayTimeout : kBadGateway, detail);
}

}  // namespace cumin
