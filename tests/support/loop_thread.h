#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>
#include <utility>

#include "cumin_http/asio.h"

namespace cumin::test {

/** An event loop that runs in its own thread, for tests that communicate with
    it over sockets. */
class LoopThread {
 public:
  LoopThread()
      : work_guard_(asio::make_work_guard(loop_)),
        thread_([this] { loop_.run(); }) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::any_io_executor executor() { return loop_.get_executor(); }

  /** Runs a coroutine on the loop and waits for it.
      @returns its result */
  template <typename T>
  T Run(Task<T> task) {
    std::promise<T> result;
    asio::co_spawn(loop_, AwaitResult(std::move(task), result), asio::detached);
    return result.get_future().get();
  }

  /** Runs a function on the loop and waits until it returns. */
  template <typename Function>
  void Post(Function function) {
    std::promise<void> done;
    asio::post(loop_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  /** Stops the loop and joins its thread; pending work is dropped. */
  void Stop() {
    loop_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  /** Passes the result through a promise, so that T need not be
      default-constructible. */
  template <typename T>
  static Task<void> AwaitResult(Task<T> task, std::promise<T>& result) {
    result.set_value(co_await std::move(task));
  }

  asio::io_context loop_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

}  // namespace cumin::test
