#include "cumin_admission/token_bucket.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr Duration kMaxTokenWait = std::chrono::hours(1);

}  // namespace

TokenBucket::TokenBucket(double rate_per_s, double burst, MonoTime now)
    : rate_per_s_(rate_per_s),
      burst_(burst),
      tokens_(burst),
      updated_at_(now) {}

void TokenBucket::SetRate(double rate_per_s, double burst, MonoTime now) {
  tokens_ = std::min(TokensAt(now), burst);
  updated_at_ = now;
  rate_per_s_ = rate_per_s;
  burst_ = burst;
}

bool TokenBucket::TryTake(MonoTime now) {
  tokens_ = TokensAt(now);
  updated_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Duration TokenBucket::TimeToToken(MonoTime now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) {
    return Duration::zero();
  }
  const double wait_us = missing / rate_per_s_ * kMicrosPerSecond;
  const auto max_wait_us = static_cast<double>(kMaxTokenWait.count());
  return rate_per_s_ <= 0 || wait_us > max_wait_us
             ? kMaxTokenWait
             : Duration(static_cast<Duration::rep>(wait_us) + 1);
}

double TokenBucket::TokensAt(MonoTime now) const {
  const auto elapsed_us = static_cast<double>((now - updated_at_).count());
  const double arrived =
      std::max(0.0, elapsed_us) / kMicrosPerSecond * rate_per_s_;
  return std::min(burst_, tokens_ + arrived);
}

}  // namespace cumin
