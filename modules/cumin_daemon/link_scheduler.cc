#include "cumin_daemon/link_scheduler.h"

namespace cumin {

void LinkScheduler::GrantTurns() {
  const MonoTime now = clock_.Now();
  std::size_t n = 0;
  while (LinkTransfer* const next = budget_.TakeTurn(now, &n)) {
    static_cast<PeerTransfer*>(next)->OnTurn(n);
  }
  if (is_timer_set_ || !budget_.HasWaiting()) {
    return;
  }
  is_timer_set_ = true;
  timer_.expires_after(budget_.next_turn_at() - now);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    is_timer_set_ = false;
    GrantTurns();
  });
}

}  // namespace cumin
