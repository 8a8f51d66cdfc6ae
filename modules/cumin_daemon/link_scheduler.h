#pragma once

#include "cumin_admission/link_budget.h"
#include "cumin_http/asio.h"

namespace cumin {

/** A transfer that is notified when it may send. */
struct PeerTransfer : LinkTransfer {
  virtual ~PeerTransfer() = default;
  /** @param n  bytes that may be sent now; 0 when the transfer cannot finish in
      time */
  virtual void OnTurn(std::size_t n) = 0;
};

/** Schedules the responses to other daemons on this VM's outgoing link: grants
    the turns of a LinkBudget on the event loop. */
class LinkScheduler {
 public:
  /** @param executor        executor of the event loop
      @param clock           outlives this
      @param megabits_per_s  0 when unknown */
  LinkScheduler(const asio::any_io_executor& executor, const Clock& clock,
                double megabits_per_s)
      : clock_(clock), budget_(megabits_per_s), timer_(executor) {}
  LinkScheduler(const LinkScheduler&) = delete;
  LinkScheduler& operator=(const LinkScheduler&) = delete;

  /** All transfers of the budget must be PeerTransfers. */
  LinkBudget& budget() { return budget_; }

  /** @returns how long the link needs to send the admitted responses */
  Duration Wait() const { return budget_.Wait(clock_.Now()); }

  /** Accounts for a message of n bytes that is sent without a turn. */
  void Charge(std::size_t n) { budget_.Charge(n, clock_.Now()); }

  /** Grants all due turns; sets a timer for the next while transfers wait. */
  void GrantTurns();

 private:
  const Clock& clock_;
  LinkBudget budget_;
  asio::steady_timer timer_;
  bool is_timer_set_ = false;
};

}  // namespace cumin
