#pragma once

#include <chrono>
#include <cstdint>

namespace cumin {

/** The duration type of the code base, with a resolution of one microsecond. */
using Duration = std::chrono::microseconds;

/** Clock type of a monotonic clock that includes the time a VM was suspended;
    readings of different VMs are not comparable. */
struct MonoClockTag {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonoClockTag>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.
};

/** Clock type of the wall clock, in Unix time. It may step, and it differs
    between VMs by a bounded skew. */
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

/** Source of time for threads that execute decisions. The decision logic takes
    clock readings as arguments instead. */
class Clock {
 public:
  virtual ~Clock() = default;

  /** @returns the monotonic time, which includes time spent suspended */
  virtual MonoTime Now() const = 0;

  virtual WallTime WallNow() const = 0;
};

/** The operating system's clocks (CLOCK_BOOTTIME and CLOCK_REALTIME). */
class SystemClock final : public Clock {
 public:
  MonoTime Now() const override;
  WallTime WallNow() const override;
};

/** @returns the duration in whole milliseconds, rounded towards zero */
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
