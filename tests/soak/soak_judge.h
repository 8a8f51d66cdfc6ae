#pragma once

#include <map>
#include <string>
#include <vector>

#include "cumin_core/time.h"

namespace cumin::test {

/** What the mesh promises to callers and targets. */
enum class Promise {
  /** A call that is not idempotent runs once at most. */
  kOnce,
  /** A call that was refused as not run has not run and never will. */
  kRefusedNotRun,
  /** A success is the whole answer of a target to this very call. */
  kWholeAnswer,
  /** Targets run only what callers sent, unchanged. */
  kOnlyAsked,
  /** A call that ran is answered, unless its VMs are harmed. */
  kAnswered,
  /** A target whose leave was acknowledged gets no more work. */
  kLeft,
  /** A daemon does not go back to an older configuration. */
  kForward,
  /** A daemon does not end by itself. */
  kLives,
  /** Once all is well again, all VMs serve the newest configuration. */
  kRecovers,
};

/** @returns the promise's name in lower case with dashes */
const char* ToString(Promise promise);

/** A promise that was broken. */
struct BrokenPromise {
  Promise promise = Promise::kOnce;
  std::string detail;
};

/** The pages' times, by which some promises are limited. */
struct SoakBounds {
  /** No new work reaches a leaving target this long after the answer. */
  Duration leave = std::chrono::milliseconds(2500);
  /** A VM counts as well this long after the last harm. */
  Duration contact = std::chrono::seconds(4);
};

/** Checks the promises against what callers and targets see. Does no I/O. */
class SoakJudge {
 public:
  explicit SoakJudge(const SoakBounds& bounds = {}) : bounds_(bounds) {}

  /** @returns the body that a caller sends with a call */
  static std::string RequestBody(const std::string& attempt);

  /** @returns the body that a target answers it with */
  static std::string AnswerBody(const std::string& attempt);

  /** A caller sends a call.
      @param may_repeat  whether it is idempotent
      @param vm          where it enters the mesh */
  void OnSent(const std::string& attempt, bool may_repeat, int vm,
              MonoTime now);

  /** A target starts to work on a call. */
  void OnRun(const std::string& attempt, int vm, const std::string& body,
             MonoTime now);

  /** A caller got an answer.
      @param has_digest  whether the answer says that it is a target's own */
  void OnAnswer(const std::string& attempt, int status, const std::string& body,
                bool has_digest);

  /** A caller's connection ended without an answer. */
  void OnClosed(const std::string& attempt, MonoTime now);

  /** A VM's process or its link to the target is harmed from now on. */
  void OnHarm(int vm);

  /** One harm of a VM has ended. */
  void OnHarmEnd(int vm, MonoTime now);

  /** The leave of a VM's target was acknowledged. */
  void OnLeaveAcknowledged(int vm, MonoTime now);

  /** A new target is there. */
  void OnTargetReturns(int vm) { left_.erase(vm); }

  /** A VM served a route that only this version has.
      @param boot  counts the VM's daemon processes */
  void OnServedVersion(int vm, int boot, int version, MonoTime sent_at,
                       MonoTime now);

  /** Notes a promise that was seen broken elsewhere. */
  void Add(Promise promise, const std::string& detail);

  const std::vector<BrokenPromise>& broken() const { return broken_; }
  int calls() const { return static_cast<int>(calls_.size()); }
  int served() const { return served_; }

 private:
  struct Call {
    bool may_repeat = false;
    int vm = 0;
    MonoTime sent_at;
    int runs = 0;
    int ran_at_vm = -1;
    bool was_refused = false;
  };
  struct Harm {
    int open = 0;
    MonoTime ended_at;
  };
  struct Boot {
    int number = 0;
    int newest = 0;
    MonoTime newest_at;
  };

  bool WasHarmedSince(int vm, MonoTime since) const;

  const SoakBounds bounds_;
  std::map<std::string, Call> calls_;
  std::map<int, Harm> harms_;
  std::map<int, MonoTime> left_;
  std::map<int, Boot> boots_;
  std::vector<BrokenPromise> broken_;
  int served_ = 0;
};

}  // namespace cumin::test
