#include "cumin_core/time.h"

#include <time.h>  // NOLINT: clock_gettime is POSIX, not <ctime>.

namespace cumin {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr std::int64_t kNanosPerMicro = 1000;

std::chrono::microseconds ReadClock(clockid_t id) {
  timespec reading{};
  clock_gettime(id, &reading);
  return std::chrono::microseconds(reading.tv_sec * kMicrosPerSecond +
                                   reading.tv_nsec / kNanosPerMicro);
}

}  // namespace

MonoTime SystemClock::Now() const {
  return MonoTime(ReadClock(CLOCK_BOOTTIME));
}

WallTime SystemClock::WallNow() const {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      ReadClock(CLOCK_REALTIME)));
}

}  // namespace cumin
