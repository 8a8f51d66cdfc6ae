#pragma once

#include "cumin_admission/link_budget.h"
#include "cumin_http/asio.h"

namespace cumin {

/** A transfer that hears of its turns. */
struct PeerTransfer : LinkTransfer {
  virtual ~PeerTransfer() = default;
  /** @param n  bytes that may be sent now; 0 when it can't end in time */
  virtual void OnTurn(std::size_t n) = 0;
};

/** This VM's link as the answers to other daemons share it. */
class LinkScheduler {
 public:
  /** @param executor        of the event loop
      @param clock           outlives this
      @param megabits_per_s  0 when unknown */
  LinkScheduler(const asio::any_io_executor& executor, const Clock& clock,
                double megabits_per_s)
      : clock_(clock), budget_(megabits_per_s), timer_(executor) {}
  LinkScheduler(const LinkScheduler&) = delete;
  LinkScheduler& operator=(const LinkScheduler&) = delete;

  /** Its transfers are PeerTransfers. */
  LinkBudget& budget() { return budget_; }

  /** @returns how long the admitted answers take to cross from now on */
  Duration Wait() const { return budget_.Wait(clock_.Now()); }

  /** Counts a message that was sent without a turn. */
  void Charge(std::size_t n) { budget_.Charge(n, clock_.Now()); }

  /** Gives the turns that are due, and keeps doing so while somebody waits. */
  void GiveTurns();

 private:
  const Clock& clock_;
  LinkBudget budget_;
  asio::steady_timer timer_;
  bool is_timer_set_ = false;
};

}  // namespace cumin
