#include "cumin_proxy/ingress_path.h"

#include <utility>
#include <variant>

#include "cumin_core/tracing.h"
#include "cumin_proxy/call_codec.h"
#include "cumin_proxy/call_headers.h"

namespace cumin {

namespace {}  // namespace

IngressPath::IngressPath(Blackboard& board, OwnerPath& owner,
                         RemotePath& remote, OrderPath& orders)
    : board_(board),
      owner_(owner),
      remote_(remote),
      orders_(orders),
      retries_(board.metrics.GetCounter("retries_total")),
      redirects_(board.metrics.GetCounter("redirects_total")) {}

HttpResponse IngressPath::Handle(const HttpRequest& request) {
  const MonoTime start = board_.clock.Now();
  const auto span =
      StartSpan(*board_.tracer, "ingress", request.headers.Get(kTraceHeader));
  const CallResult result = Route(request, TraceParent(*span));
  span->SetTag("verdict", ToString(result.verdict));
  span->Finish();
  board_.metrics
      .GetCounter(std::string("ingress_") +
                  (result.verdict == Verdict::kRan      ? "ran"
                   : result.verdict == Verdict::kNotRun ? "not_run"
                                                        : "may_have_run") +
                  "_total")
      .Add();
  board_.metrics.GetLatency("ingress_latency")
      .Observe(board_.clock.Now() - start);
  return ToCallerResponse(result);
}

CallResult IngressPath::Route(const HttpRequest& request,
                              const std::string& trace_parent) {
  if (board_.refuses_callers) {
    return CallResult::NotRun(RefusalReason::kShuttingDown,
                              "this daemon is ending");
  }
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  if (!board_.ready || !snapshot) {
    return CallResult::NotRun(
        RefusalReason::kNoConfiguration,
        "this daemon holds no configuration that it may serve with");
  }
  CallPlan plan = PlanCall(request, *snapshot, board_.clock.Now());
  if (auto* refusal = std::get_if<Refusal>(&plan)) {
    return CallResult::Refused(*refusal);
  }
  auto& planned = std::get<PlannedCall>(plan);
  const Contract& contract = *snapshot->FindContract(planned.call.customer);
  const std::optional<Refusal> limited =
      board_.rates.Check(contract, board_.clock.Now());
  if (limited) {
    return CallResult::Refused(*limited);
  }
  planned.call.trace_parent = trace_parent;
  return ExecuteWithRetries(planned);
}

CallResult IngressPath::ExecuteWithRetries(const PlannedCall& planned) {
  Call call = planned.call;
  call.ingress = board_.settings.vm;
  const CallDeadline deadline(call.deadline);
  RetryPolicy policy(
      call.repeatability,
      RetryAllowance(planned.grant.retries,
                     call.request.headers.Get(kRetriesLeftHeader)));
  ChooseRequest choice{call.service, {}};
  board_.router.OnCall(call.service);
  CallResult result;
  while (true) {
    call.attempt = NextAttempt();
    call.request.headers.Set(kRetriesLeftHeader,
                             policy.allowance().NextHopHeader());
    const std::size_t tried = choice.tried.size();
    CallResult next = TryOnce(call, &choice);
    if (choice.tried.size() == tried && tried > 0) {
      // No other target is left; the last one's answer says more.
      return result;
    }
    result = std::move(next);
    if (result.verdict == Verdict::kRan || choice.tried.empty()) {
      return result;
    }
    const RetryDecision decision = board_.router.DecideRetry(
        call.service, policy, result.refusal, deadline, board_.clock.Now());
    if (decision == RetryDecision::kGiveUp) {
      return result;
    }
    (decision == RetryDecision::kRetry ? retries_ : redirects_).Add();
  }
}

CallResult IngressPath::TryOnce(const Call& call, ChooseRequest* request) {
  if (call.repeatability == Repeatability::kAtMostOnce) {
    return orders_.Execute(call);
  }
  Refusal refusal;
  const std::optional<Member> chosen = board_.router.Choose(
      *request, board_.clock.Now(), board_.random, &refusal);
  if (!chosen) {
    return CallResult::Refused(refusal);
  }
  request->tried.push_back(chosen->vm);
  CallResult result = chosen->vm == board_.settings.vm
                          ? owner_.Execute(call)
                          : remote_.Execute(*chosen, call);
  board_.router.Finish(chosen->vm, result, board_.clock.Now());
  return result;
}

AttemptId IngressPath::NextAttempt() {
  return AttemptId(board_.settings.vm.str() + "-" +
                   std::to_string(board_.random.Next()));
}

}  // namespace cumin
