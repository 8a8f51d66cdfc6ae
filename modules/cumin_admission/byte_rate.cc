#include "cumin_admission/byte_rate.h"

#include <cmath>

namespace cumin {

namespace {

/** Time constant with which earlier bytes lose weight, in seconds. */
constexpr double kWindowSeconds = 1;

}  // namespace

void ByteRate::OnBytes(std::size_t n, MonoTime now) {
  bytes_ = PerSecond(now) * kWindowSeconds + static_cast<double>(n);
  updated_at_ = now;
}

double ByteRate::PerSecond(MonoTime now) const {
  const double age = std::chrono::duration<double>(now - updated_at_).count();
  return bytes_ * std::exp(-age / kWindowSeconds) / kWindowSeconds;
}

}  // namespace cumin
