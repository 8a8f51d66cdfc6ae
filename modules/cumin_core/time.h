#pragma once

#include <chrono>
#include <cstdint>

namespace cumin {

/** Lengths of time inside the system have a resolution of one microsecond. */
using Duration = std::chrono::microseconds;

/** Tags a clock that never steps back and that counts the time a VM was
    suspended; its readings mean nothing on another VM. */
struct MonoClockTag {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonoClockTag>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.
};

/** Tags the wall clock, in time since 1970; may step, and differs between VMs
    by a bounded skew. */
struct WallClockTag {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClockTag>;
  static constexpr bool is_steady = false;  // NOLINT: the standard's name.
};

/** A reading of this VM's monotonic clock. */
using MonoTime = MonoClockTag::time_point;
/** A reading of the wall clock, with a resolution of one millisecond. */
using WallTime = WallClockTag::time_point;

/** Source of time for threads that carry out decisions. Decisions themselves
    take readings as arguments. */
class Clock {
 public:
  virtual ~Clock() = default;

  /** @returns the monotonic time, which includes time spent suspended */
  virtual MonoTime Now() const = 0;

  /** @returns the wall clock's time */
  virtual WallTime WallNow() const = 0;
};

/** The operating system's clocks (CLOCK_BOOTTIME and CLOCK_REALTIME). */
class SystemClock final : public Clock {
 public:
  MonoTime Now() const override;
  WallTime WallNow() const override;
};

/** @returns the length in whole milliseconds, rounded towards zero */
inline std::int64_t ToMillis(Duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/** @returns the wall time in milliseconds since 1970 */
inline std::int64_t ToUnixMillis(WallTime time) {
  return time.time_since_epoch().count();
}

/** @param millis  milliseconds since 1970 */
inline WallTime FromUnixMillis(std::int64_t millis) {
  return WallTime(std::chrono::milliseconds(millis));
}

}  // namespace cumin
