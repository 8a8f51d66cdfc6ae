#pragma once

#include <set>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** The steps of a target that leaves. */
enum class DrainStep {
  kServing,
  /** Announced as leaving; still takes work from peers that do not know. */
  kAnnounced,
  /** Refuses new work as NotRun and finishes what it has. */
  kRefusing,
  /** Cancels calls that would outlast the end. */
  kCancelling,
  kEnded,
};

/** How long the steps may take, counted from the announcement. */
struct DrainLimits {
  /** New work is refused from here on, whoever has confirmed. */
  Duration accept_for{std::chrono::milliseconds(2500)};
  /** Without every confirmation, refusals are still answered up to here. */
  Duration answer_for{std::chrono::seconds(4)};
  /** Calls still running are cancelled from here on. */
  Duration cancel_after{std::chrono::seconds(20)};
  Duration end_after{std::chrono::seconds(25)};

  friend bool operator==(const DrainLimits& a, const DrainLimits& b) {
    return a.accept_for == b.accept_for && a.answer_for == b.answer_for &&
           a.cancel_after == b.cancel_after && a.end_after == b.end_after;
  }
};

/** Takes a target out of service without cutting a call.

    The announcement comes first and readiness flips with it. New work is
    refused as soon as every daemon that routes here has confirmed that it
    knows, or after a bound. The readiness endpoint answers until the end.
*/
class DrainState {
 public:
  /** @param limits  bounds of the steps */
  explicit DrainState(const DrainLimits& limits = {}) : limits_(limits) {}

  /** Announces the leave; a second call changes nothing.
      @param routing_peers  daemons that recently sent work here
      @param now            the time */
  void BeginLeave(std::set<VmId> routing_peers, MonoTime now);

  /** A daemon has seen the announcement, or is gone. */
  void OnPeerConfirmed(const VmId& peer);

  /** Moves to the step that the time and the work call for.
      @param in_flight  calls that hold a slot
      @param now        the time
      @returns the step */
  DrainStep Advance(int in_flight, MonoTime now);

  DrainStep step() const { return step_; }

  /** @returns the answer of the readiness endpoint */
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
