#include "cumin_proxy/task_pool.h"

#include <utility>

namespace cumin {

TaskPool::TaskPool(int threads, std::size_t max_queue) : max_queue_(max_queue) {
  threads_.reserve(threads);
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

TaskPool::~TaskPool() { Stop(); }

bool TaskPool::Post(Task task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_ || queue_.size() >= max_queue_) {
      return false;
    }
    queue_.push_back(std::move(task));
  }
  wake_.notify_one();
  return true;
}

void TaskPool::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  wake_.notify_all();
  for (std::thread& it : threads_) {
    if (it.joinable()) {
      it.join();
    }
  }
}

void TaskPool::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) {
      return;
    }
    const Task task = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace cumin
