#include "cumin_proxy/controller.h"

namespace cumin {

void Controller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Controller::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool Controller::stopping() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopping_;
}

void Controller::Run() {
  while (!stopping()) {
    const Duration pause = Step();
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, pause, [this] { return stopping_; });
  }
}

}  // namespace cumin
