#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cumin {

/** Threads that carry out control messages, with a bounded queue, so that a
    silent peer holds up neither the tick nor the other peers. Thread-safe. */
class TaskPool {
 public:
  using Task = std::function<void()>;

  /** @param threads    how many tasks run at once
      @param max_queue  tasks that may wait */
  TaskPool(int threads, std::size_t max_queue);

  /** Stops the pool. */
  ~TaskPool();

  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  /** @returns false when the queue is full or the pool has stopped; the task
      does not run then */
  bool Post(Task task);

  /** Drops the tasks that wait and waits for those that run. */
  void Stop();

 private:
  void Run();

  const std::size_t max_queue_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> queue_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace cumin
