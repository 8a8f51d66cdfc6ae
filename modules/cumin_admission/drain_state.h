#pragma once

#include <set>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** The steps of draining a target. */
enum class DrainStep {
  kServing,
  /** Announced as leaving; still accepts work from peers that have not received
      the announcement. */
  kAnnounced,
  /** Refuses new work as NotRun and finishes the calls in progress. */
  kRefusing,
  /** Cancels the calls that are still running. */
  kCancelling,
  kEnded,
};

/** Time limits of the steps, measured from the announcement. */
struct DrainLimits {
  /** After this, new work is refused even if confirmations are missing. */
  Duration accept_for{std::chrono::milliseconds(2500)};
  /** If confirmations are missing, the drain ends no earlier than this, so that
      late calls still receive a refusal. */
  Duration answer_for{std::chrono::seconds(4)};
  /** After this, calls still running are cancelled. */
  Duration cancel_after{std::chrono::seconds(20)};
  Duration end_after{std::chrono::seconds(25)};

  friend bool operator==(const DrainLimits& a, const DrainLimits& b) {
    return a.accept_for == b.accept_for && a.answer_for == b.answer_for &&
           a.cancel_after == b.cancel_after && a.end_after == b.end_after;
  }
};

/** Takes a target out of service without interrupting calls.

    The target is first announced as leaving and at the same time reports not
    ready. New work is refused once every daemon that routes to it has confirmed
    the announcement, or after a time limit. The readiness endpoint answers
    until the end.
*/
class DrainState {
 public:
  explicit DrainState(const DrainLimits& limits = {}) : limits_(limits) {}

  /** Announces the target as leaving; further calls have no effect.
      @param routing_peers  daemons that recently sent work to this target */
  void BeginLeave(std::set<VmId> routing_peers, MonoTime now);

  /** Records that a daemon has received the announcement or is gone. */
  void OnPeerConfirmed(const VmId& peer);

  /** Advances to the step required by the elapsed time and the remaining work.
      @param in_flight  number of calls that hold a slot
      @returns the current step */
  DrainStep Advance(int in_flight, MonoTime now);

  DrainStep step() const { return step_; }

  /** @returns the state reported by the readiness endpoint */
  bool IsReady() const { return step_ == DrainStep::kServing; }

  /** @returns true while new work may start */
  bool AcceptsWork() const { return step_ <= DrainStep::kAnnounced; }

 private:
  DrainStep NextStep(int in_flight, MonoTime now) const;

  DrainLimits limits_;
  DrainStep step_ = DrainStep::kServing;
  MonoTime announced_at_;
  std::set<VmId> unconfirmed_;
};

}  // namespace cumin
