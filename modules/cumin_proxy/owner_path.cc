#include "cumin_proxy/owner_path.h"

#include "cumin_core/logging.h"
#include "cumin_core/tracing.h"

namespace cumin {

namespace {

RunOutcome OutcomeOf(const CallResult& result) {
  if (result.verdict == Verdict::kRan) {
    return RunOutcome::kAnswered;
  }
  return result.refusal.reason == RefusalReason::kDeadlineExpired
             ? RunOutcome::kTimedOut
             : RunOutcome::kFailed;
}

}  // namespace

OwnerPath::OwnerPath(Blackboard& board, SuspectNotifier& notifier)
    : board_(board), notifier_(notifier), client_(board) {}

CallResult OwnerPath::Execute(const Call& call) {
  const auto span = StartSpan(*board_.tracer, "owner", call.trace_parent);
  Call traced = call;
  traced.trace_parent = TraceParent(*span);
  board_.gate.OnPeerCall(call.ingress);
  UpdateTarget();
  CallResult result = Admit(traced);
  result.load = board_.gate.Load();
  board_.gate.OnLoadTold(call.ingress, *result.load);
  span->SetTag("verdict", ToString(result.verdict));
  span->Finish();
  return result;
}

void OwnerPath::OnAnnouncement() {
  board_.gate.OnAnnouncement();
  UpdateTarget();
}

void OwnerPath::UpdateTarget() {
  board_.gate.SetTarget(board_.target.Current());
}

CallResult OwnerPath::Admit(const Call& call) {
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  if (!snapshot) {
    return CallResult::NotRun(RefusalReason::kNoConfiguration,
                              "the target's daemon has no configuration");
  }
  const Service* const service = snapshot->mesh().FindService(call.service);
  const Operation* const operation =
      service == nullptr ? nullptr : service->FindOperation(call.operation);
  if (operation == nullptr) {
    return CallResult::NotRun(RefusalReason::kUnknownRoute,
                              "the target's daemon knows no such operation");
  }
  // The ingress may be a version ahead; a customer that is new here gets the
  // limits of an empty contract.
  Contract unknown;
  unknown.customer = call.customer;
  const Contract* const known = snapshot->FindContract(call.customer);
  GateCall entering(call, known == nullptr ? unknown : *known, *operation);
  const std::optional<Refusal> refusal = board_.gate.Enter(entering);
  if (refusal) {
    return CallResult::Refused(*refusal);
  }
  const std::optional<AnnouncedTarget> target = board_.target.Current();
  if (!target) {
    board_.gate.Leave(entering, RunOutcome::kFailed);
    return CallResult::NotRun(RefusalReason::kNoTarget, "the target is gone");
  }
  CallResult result = Run(entering, *target);
  board_.gate.Leave(entering, OutcomeOf(result));
  return result;
}

CallResult OwnerPath::Run(GateCall& entered, const AnnouncedTarget& target) {
  CallResult result = client_.Execute(entered.call(), target);
  const RefusalReason reason = result.refusal.reason;
  const bool has_crashed = result.verdict == Verdict::kMayHaveRun &&
                           reason == RefusalReason::kTargetFailed;
  const bool is_gone =
      result.verdict == Verdict::kNotRun && reason == RefusalReason::kNoTarget;
  if (has_crashed || is_gone) {
    board_.gate.OnTargetUnreachable();
  }
  if (!has_crashed) {
    return result;
  }
  const std::vector<SuspectRecord> records = board_.gate.OnTargetCrash(entered);
  if (!records.empty()) {
    const int told = notifier_.Tell(entered.call().service, records);
    CUMIN_LOG(warning) << "the target crashed with " << records.size()
                       << " calls in flight; told " << told << " daemons";
  }
  return result;
}

}  // namespace cumin
