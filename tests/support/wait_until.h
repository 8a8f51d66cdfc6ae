#pragma once

#include <chrono>
#include <thread>

namespace cumin::test {

/** Default time-out of process tests for a single condition. Far above what any
    condition needs, so that tests do not fail on a busy machine. */
constexpr auto kWaitBound = std::chrono::seconds(30);

/** Polls until a condition holds.
    @param predicate  the condition
    @param bound      time-out
    @returns false when the condition did not hold within the time-out */
template <typename Predicate>
bool WaitUntil(Predicate&& predicate,
               std::chrono::milliseconds bound = kWaitBound) {
  constexpr auto kPollPeriod = std::chrono::milliseconds(10);
  const auto until = std::chrono::steady_clock::now() + bound;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

}  // namespace cumin::test
