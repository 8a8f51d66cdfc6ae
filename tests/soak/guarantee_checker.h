#pragma once

#include <map>
#include <string>
#include <vector>

#include "cumin_core/time.h"

namespace cumin::test {

/** A guarantee that the mesh gives to callers and targets. */
enum class Guarantee {
  /** A call that is not idempotent runs at most once. */
  kAtMostOnce,
  /** A call refused with a not-run status has not run and never runs later. */
  kRefusedNotRun,
  /** A success status carries the complete answer of a target to this call. */
  kCompleteAnswer,
  /** Targets run only calls that callers sent, with the body unchanged. */
  kOnlySentCalls,
  /** A call that ran is answered, unless one of its VMs is faulted. */
  kAnswered,
  /** A target whose leave was acknowledged is sent no more work. */
  kNoWorkAfterLeave,
  /** A daemon never returns to an older configuration version. */
  kMonotonicVersion,
  /** A daemon exits only when it is signalled to. */
  kNoUnexpectedExit,
  /** After the last fault, all VMs serve the newest configuration. */
  kRecovers,
};

/** @returns the guarantee's name in reports: lower case, with hyphens */
const char* ToString(Guarantee guarantee);

struct GuaranteeViolation {
  Guarantee guarantee = Guarantee::kAtMostOnce;
  std::string detail;
};

/** Times within which the documentation allows a guarantee not to hold. */
struct GuaranteeBounds {
  /** After a leave is acknowledged, new work may arrive for this long. */
  Duration leave_grace = std::chrono::milliseconds(2500);
  /** A VM still counts as faulted for this long after its last fault. */
  Duration fault_grace = std::chrono::seconds(4);
};

/** Checks the guarantees against what callers and targets observe. Does no
    I/O. */
class GuaranteeChecker {
 public:
  explicit GuaranteeChecker(const GuaranteeBounds& bounds = {})
      : bounds_(bounds) {}

  /** @returns the body that a caller sends with a call */
  static std::string RequestBody(const std::string& attempt);

  /** @returns the body of a target's answer to that call */
  static std::string AnswerBody(const std::string& attempt);

  /** A caller sends a call.
      @param is_idempotent  whether it may run more than once
      @param vm             the VM whose daemon receives it */
  void OnSent(const std::string& attempt, bool is_idempotent, int vm,
              MonoTime now);

  /** A target starts to run a call. */
  void OnRun(const std::string& attempt, int vm, const std::string& body,
             MonoTime now);

  /** A caller received an answer.
      @param has_digest  whether it has the digest header, which marks the
                         answer of a target */
  void OnAnswer(const std::string& attempt, int status, const std::string& body,
                bool has_digest);

  /** A caller's connection was closed without an answer. */
  void OnClosed(const std::string& attempt, MonoTime now);

  /** A fault of a VM's process or of its link to the target begins. Faults of
      a VM may overlap. */
  void OnFaultBegin(int vm);

  /** One fault of a VM has ended. */
  void OnFaultEnd(int vm, MonoTime now);

  /** The daemon acknowledged that its VM's target leaves. */
  void OnLeaveAcknowledged(int vm, MonoTime now);

  /** A new target runs in place of a VM's target that left. */
  void OnTargetReplaced(int vm) { leave_acknowledged_.erase(vm); }

  /** A VM served a route that exists in this configuration version only.
      @param boot  the number of the VM's daemon process, counted from 1 */
  void OnServedVersion(int vm, int boot, int version, MonoTime sent_at,
                       MonoTime now);

  /** Records a violation; also for those that other code detects. */
  void Add(Guarantee guarantee, const std::string& detail);

  const std::vector<GuaranteeViolation>& violations() const {
    return violations_;
  }
  int calls() const { return static_cast<int>(calls_.size()); }
  int served() const { return served_; }

 private:
  struct Call {
    bool is_idempotent = false;
    int vm = 0;
    MonoTime sent_at;
    int runs = 0;
    int ran_at_vm = -1;
    bool was_refused = false;
  };
  struct VmFaults {
    int active = 0;
    MonoTime ended_at;
  };
  struct Boot {
    int number = 0;
    int newest_version = 0;
    MonoTime newest_at;
  };

  bool WasFaultedSince(int vm, MonoTime since) const;

  const GuaranteeBounds bounds_;
  std::map<std::string, Call> calls_;
  std::map<int, VmFaults> vm_faults_;
  std::map<int, MonoTime> leave_acknowledged_;
  std::map<int, Boot> boots_;
  std::vector<GuaranteeViolation> violations_;
  int served_ = 0;
};

}  // namespace cumin::test
