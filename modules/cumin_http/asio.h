#pragma once

// Asio 1.74 uses std::exchange without including <utility>.
// clang-format off
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cumin_core/time.h"

namespace cumin {

namespace asio = boost::asio;

/** A coroutine on the daemon's event loop. */
template <typename T>
using Task = asio::awaitable<T>;

/** Suspends the calling coroutine for the given time.
    @returns false when the wait was cancelled */
inline Task<bool> SleepFor(Duration length) {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

}  // namespace cumin
