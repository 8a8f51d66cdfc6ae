#pragma once

#include <chrono>
#include <thread>

namespace cumin::test {

/** The longest that a process test waits for one thing; far above what any
    thing needs, so that a busy machine fails no test. */
constexpr auto kWaitBound = std::chrono::seconds(30);

/** Polls until a condition holds.
    @param predicate  the condition
    @param bound      when to give up
    @returns false when the condition did not hold in time */
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
