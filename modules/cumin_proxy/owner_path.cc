#include "cumin_proxy/owner_path.h"

#include "cumin_core/tracing.h"

namespace cumin {

namespace {

CallResult NotRun(RefusalReason reason, const std::string& detail) {
  return CallResult::Refused(
      Refusal{Verdict::kNotRun, reason, detail, Duration(0)});
}

}  // namespace

OwnerPath::OwnerPath(Blackboard& board) : board_(board), client_(board) {}

CallResult OwnerPath::Execute(const Call& call) {
  const auto span = StartSpan(*board_.tracer, "owner", call.trace_parent);
  Call traced = call;
  traced.trace_parent = TraceParent(*span);
  CallResult result = Admit(traced);
  result.load = Load();
  span->SetTag("verdict", ToString(result.verdict));
  span->Finish();
  return result;
}

TargetLoad OwnerPath::Load() const {
  const std::optional<AnnouncedTarget> target = board_.target.Current();
  TargetLoad load;
  load.in_flight = in_flight_.load();
  load.slots = target ? target->slots : 0;
  load.leaving = target && target->state == TargetState::kLeaving;
  return load;
}

CallResult OwnerPath::Admit(const Call& call) {
  const std::optional<AnnouncedTarget> target = board_.target.Current();
  if (!target || target->service != call.service) {
    return NotRun(RefusalReason::kNoTarget,
                  "this VM has no target of service " + call.service.str());
  }
  if (target->state == TargetState::kLeaving || board_.leaving) {
    return NotRun(RefusalReason::kTargetLeaving, "the target is leaving");
  }
  if (target->state == TargetState::kStarting) {
    return NotRun(RefusalReason::kTargetStarting, "the target is starting");
  }
  if (in_flight_.fetch_add(1) >= target->slots) {
    in_flight_.fetch_sub(1);
    return NotRun(RefusalReason::kQueueFull, "every slot is taken");
  }
  CallResult result = client_.Execute(call, *target);
  in_flight_.fetch_sub(1);
  return result;
}

}  // namespace cumin
