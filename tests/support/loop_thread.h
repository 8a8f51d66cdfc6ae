#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>
#include <utility>

#include "cumin_http/asio.h"

namespace cumin::test {

/** An event loop in a thread of its own, for tests that talk to it over
    sockets. */
class LoopThread {
 public:
  LoopThread()
      : work_(asio::make_work_guard(loop_)), thread_([this] { loop_.run(); }) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::any_io_executor executor() { return loop_.get_executor(); }

  /** Runs a coroutine on the loop.
      @returns what it returns */
  template <typename T>
  T Run(Task<T> task) {
    return asio::co_spawn(loop_, std::move(task), asio::use_future).get();
  }

  /** Runs a function on the loop and waits for its end. */
  template <typename Function>
  void Post(Function function) {
    std::promise<void> done;
    asio::post(loop_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  /** Ends the loop; what it still had to do is dropped. */
  void Stop() {
    loop_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  asio::io_context loop_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace cumin::test
