#include "cumin_admission/inbound_link.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
/** Part of the link that large bodies may take. */
constexpr double kBodyPart = 0.75;
/** Part of the caller's time that a body may wait and travel. */
constexpr int kTimeDivisor = 3;

}  // namespace

InboundLink::InboundLink(double megabits_per_s)
    : bytes_per_s_(megabits_per_s * kBytesPerMegabit * kBodyPart) {}

InboundGrant InboundLink::Reserve(std::size_t n, Duration left, MonoTime now) {
  if (bytes_per_s_ <= 0) {
    return InboundGrant{};
  }
  const MonoTime start = std::max(now, busy_until_);
  const Duration wait = start - now;
  const auto length = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(n) / bytes_per_s_));
  if (wait > kMaxWait ||
      (wait > Duration::zero() && wait + length > left / kTimeDivisor)) {
    return InboundGrant{false, wait};
  }
  busy_until_ = start + length;
  return InboundGrant{true, wait};
}

}  // namespace cumin
