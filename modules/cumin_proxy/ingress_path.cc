#include "cumin_proxy/ingress_path.h"

#include <variant>
#include <vector>

#include "cumin_core/tracing.h"
#include "cumin_proxy/call_codec.h"

namespace cumin {

namespace {

CallResult NotRun(RefusalReason reason, const std::string& detail) {
  return CallResult::Refused(
      Refusal{Verdict::kNotRun, reason, detail, Duration(0)});
}

}  // namespace

IngressPath::IngressPath(Blackboard& board, OwnerPath& owner,
                         RemotePath& remote)
    : board_(board), owner_(owner), remote_(remote) {}

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
  if (board_.leaving) {
    return NotRun(RefusalReason::kShuttingDown, "this daemon is ending");
  }
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  if (!board_.ready || !snapshot) {
    return NotRun(RefusalReason::kNoConfiguration,
                  "this daemon holds no configuration that it may serve with");
  }
  CallPlan plan = PlanCall(request, *snapshot, board_.clock.Now());
  if (auto* refusal = std::get_if<Refusal>(&plan)) {
    return CallResult::Refused(*refusal);
  }
  auto& planned = std::get<PlannedCall>(plan);
  planned.call.trace_parent = trace_parent;
  return ExecuteWithRetries(planned);
}

CallResult IngressPath::ExecuteWithRetries(const PlannedCall& planned) {
  std::set<VmId> tried;
  Call call = planned.call;
  CallResult result;
  for (int i = 0; i <= planned.grant.retries; ++i) {
    call.attempt = NextAttempt();
    result = TryOnce(call, &tried);
    if (!MayRetry(call, result)) {
      break;
    }
  }
  return result;
}

CallResult IngressPath::TryOnce(const Call& call, std::set<VmId>* tried) {
  std::vector<Member> open;
  for (Member& it : board_.fleet.Carriers(call.service)) {
    const bool ready = it.target->state == TargetState::kReady;
    if (ready && tried->count(it.vm) == 0) {
      open.push_back(std::move(it));
    }
  }
  if (open.empty()) {
    return NotRun(RefusalReason::kNoTarget,
                  "no target of service " + call.service.str() + " is ready");
  }
  const Member& chosen = open[board_.random.Below(open.size())];
  tried->insert(chosen.vm);
  if (chosen.vm == board_.settings.vm) {
    return owner_.Execute(call);
  }
  return remote_.Execute(chosen, call);
}

bool IngressPath::MayRetry(const Call& call, const CallResult& result) const {
  if (result.verdict == Verdict::kRan || board_.clock.Now() >= call.deadline) {
    return false;
  }
  return result.verdict == Verdict::kNotRun ||
         call.repeatability == Repeatability::kIdempotent;
}

AttemptId IngressPath::NextAttempt() {
  return AttemptId(board_.settings.vm.str() + "-" +
                   std::to_string(board_.random.Next()));
}

}  // namespace cumin
