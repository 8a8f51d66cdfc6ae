#include "soak/guarantee_checker.h"

#include <algorithm>

#include "cumin_core/stable_hash.h"

namespace cumin::test {

namespace {

/** Several TCP segments, so that an answer can be truncated in transit. */
constexpr std::size_t kMaxAnswerBytes = 6000;

bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

const char* ToString(Guarantee guarantee) {
  switch (guarantee) {
    case Guarantee::kAtMostOnce:
      return "once";
    case Guarantee::kRefusedNotRun:
      return "refused-not-run";
    case Guarantee::kCompleteAnswer:
      return "whole-answer";
    case Guarantee::kOnlySentCalls:
      return "only-asked";
    case Guarantee::kAnswered:
      return "answered";
    case Guarantee::kNoWorkAfterLeave:
      return "left";
    case Guarantee::kMonotonicVersion:
      return "forward";
    case Guarantee::kNoUnexpectedExit:
      return "lives";
    case Guarantee::kRecovers:
      return "recovers";
  }
  return "";
}

std::string GuaranteeChecker::RequestBody(const std::string& attempt) {
  return "request of " + attempt;
}

std::string GuaranteeChecker::AnswerBody(const std::string& attempt) {
  std::string body = "answer to " + attempt + " ";
  body.resize(body.size() + StableHash(attempt) % kMaxAnswerBytes, 'a');
  return body;
}

void GuaranteeChecker::OnSent(const std::string& attempt, bool is_idempotent,
                              int vm, MonoTime now) {
  Call call;
  call.is_idempotent = is_idempotent;
  call.vm = vm;
  call.sent_at = now;
  calls_[attempt] = call;
}

void GuaranteeChecker::OnRun(const std::string& attempt, int vm,
                             const std::string& body, MonoTime now) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end() || body != RequestBody(attempt)) {
    Add(Guarantee::kOnlySentCalls, attempt);
    return;
  }
  Call& call = found->second;
  call.runs += 1;
  call.ran_at_vm = vm;
  if (!call.is_idempotent && call.runs > 1) {
    Add(Guarantee::kAtMostOnce, attempt);
  }
  if (!call.is_idempotent && call.was_refused) {
    Add(Guarantee::kRefusedNotRun, attempt + " ran after its refusal");
  }
  const auto left = leave_acknowledged_.find(vm);
  const bool is_late = left != leave_acknowledged_.end() &&
                       now > left->second + bounds_.leave_grace;
  if (is_late && !WasFaultedSince(vm, left->second)) {
    Add(Guarantee::kNoWorkAfterLeave, attempt + " at vm" + std::to_string(vm));
  }
}

void GuaranteeChecker::OnAnswer(const std::string& attempt, int status,
                                const std::string& body, bool has_digest) {
  Call& call = calls_[attempt];
  const bool is_success = status >= 200 && status < 300;
  if (is_success) {
    served_ += 1;
    if (!has_digest || call.runs == 0 || body != AnswerBody(attempt)) {
      Add(Guarantee::kCompleteAnswer, attempt);
    }
    return;
  }
  if (IsNotRunStatus(status) && !call.is_idempotent) {
    call.was_refused = true;
    if (call.runs > 0) {
      Add(Guarantee::kRefusedNotRun,
          attempt + " ran and was answered " + std::to_string(status));
    }
  }
}

void GuaranteeChecker::OnClosed(const std::string& attempt, MonoTime now) {
  const Call& call = calls_[attempt];
  if (call.runs == 0 || WasFaultedSince(call.vm, call.sent_at) ||
      WasFaultedSince(call.ran_at_vm, call.sent_at)) {
    return;
  }
  Add(Guarantee::kAnswered,
      attempt + " closed after " +
          std::to_string(ToMillis(
              std::chrono::duration_cast<Duration>(now - call.sent_at))) +
          " ms at vm" + std::to_string(call.vm));
}

void GuaranteeChecker::OnFaultBegin(int vm) { vm_faults_[vm].active += 1; }

void GuaranteeChecker::OnFaultEnd(int vm, MonoTime now) {
  VmFaults& vm_faults = vm_faults_[vm];
  vm_faults.active -= 1;
  vm_faults.ended_at = now;
}

void GuaranteeChecker::OnLeaveAcknowledged(int vm, MonoTime now) {
  leave_acknowledged_.emplace(vm, now);
}

void GuaranteeChecker::OnServedVersion(int vm, int boot, int version,
                                       MonoTime sent_at, MonoTime now) {
  Boot& seen = boots_[vm];
  if (seen.number > boot) {
    return;
  }
  if (seen.number < boot) {
    seen = Boot{boot, 0, MonoTime{}};
  }
  if (version < seen.newest_version && sent_at > seen.newest_at) {
    Add(Guarantee::kMonotonicVersion, "vm" + std::to_string(vm) +
                                          " served version " +
                                          std::to_string(version) + " after " +
                                          std::to_string(seen.newest_version));
  }
  if (version > seen.newest_version) {
    seen.newest_version = version;
    seen.newest_at = now;
  }
}

void GuaranteeChecker::Add(Guarantee guarantee, const std::string& detail) {
  violations_.push_back(GuaranteeViolation{guarantee, detail});
}

bool GuaranteeChecker::WasFaultedSince(int vm, MonoTime since) const {
  const auto found = vm_faults_.find(vm);
  if (found == vm_faults_.end()) {
    return false;
  }
  return found->second.active > 0 ||
         found->second.ended_at + bounds_.fault_grace >= since;
}

}  // namespace cumin::test
