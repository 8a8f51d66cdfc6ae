#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "cumin_core/time.h"

namespace cumin {

/** A thread that works on the blackboard in steps until it is stopped. */
class Controller {
 public:
  virtual ~Controller() = default;

  /** Starts the thread. */
  void Start();

  /** Asks the thread to end and waits for it. The derived class calls this in
      its destructor. */
  void Stop();

 protected:
  /** Does one piece of work; may block on I/O for a bounded time.
      @returns how long to wait before the next step */
  virtual Duration Step() = 0;

  /** @returns true once Stop was called; long steps look at it */
  bool stopping() const;

 private:
  void Run();

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cumin
