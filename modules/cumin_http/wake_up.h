#pragma once

#include "cumin_http/asio.h"

namespace cumin {

/** An auto-reset event that one coroutine at a time can wait for. */
class WakeUp {
 public:
  /** @param executor  of the loop that the waiting coroutine runs on */
  explicit WakeUp(const asio::any_io_executor& executor) : timer_(executor) {}

  /** Sets the event: resumes the waiting coroutine, or the next one to wait. */
  void Notify() {
    is_set_ = true;
    timer_.cancel();
  }

  /** Waits for Notify and resets the event.
      @param limit  the timeout
      @returns true when Notify was called, false on timeout */
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
