#include "cumin_routing/call_deadline.h"

#include <algorithm>
#include <cstdlib>

namespace cumin {

namespace {

constexpr Duration kHopMargin = std::chrono::milliseconds(2);

/** @returns the header's time, or `granted` when it has none */
Duration ParseMillis(const std::string& header, Duration granted) {
  if (header.empty()) {
    return granted;
  }
  char* end = nullptr;
  const double millis = std::strtod(header.c_str(), &end);
  // The comparison is false for a value that is no number.
  if (end == header.c_str() || *end != '\0' || !(millis >= 0)) {
    return granted;
  }
  const auto granted_ms = static_cast<double>(ToMillis(granted)) + 1;
  const std::chrono::duration<double, std::milli> asked(
      std::min(millis, granted_ms));
  return std::chrono::duration_cast<Duration>(asked);
}

}  // namespace

CallDeadline::CallDeadline(Duration granted, const std::string& header,
                           MonoTime now)
    : at_(now + std::min(granted, ParseMillis(header, granted))) {}

Duration CallDeadline::Remaining(MonoTime now) const {
  return std::max(Duration::zero(), at_ - now);
}

bool CallDeadline::IsExpired(MonoTime now) const {
  return Remaining(now) <= kHopMargin;
}

std::optional<std::string> CallDeadline::NextHopHeader(MonoTime now) const {
  const Duration left = Remaining(now) - kHopMargin;
  if (left < std::chrono::milliseconds(1)) {
    return std::nullopt;
  }
  return std::to_string(ToMillis(left));
}

}  // namespace cumin
