#pragma once

#include "cumin_http/asio.h"

namespace cumin {

/** Lets one coroutine wait until another part of the program wakes it. */
class WakeUp {
 public:
  /** @param executor  of the loop that the waiting coroutine runs on */
  explicit WakeUp(const asio::any_io_executor& executor) : timer_(executor) {}

  /** Wakes the waiting coroutine, or the next one that waits. */
  void Notify() {
    is_set_ = true;
    timer_.cancel();
  }

  /** Waits for Notify.
      @param limit  how long at most
      @returns true when Notify was called, false when the time ran out */
  Task<bool> WaitFor(Duration limit) {
    if (!is_set_) {
      boost::system::error_code ec;
      timer_.expires_after(limit);
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return std::exchange(is_set_, false);
  }

 private:
  asio::steady_timer timer_;
  bool is_set_ = false;
};

}  // namespace cumin
