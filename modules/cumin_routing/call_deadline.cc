#include "cumin_routing/call_deadline.h"

#include <algorithm>

namespace cumin {

namespace {

/** Time reserved at each hop for returning the response. */
constexpr Duration kHopMargin = std::chrono::milliseconds(2);

}  // namespace

Duration CallDeadline::Remaining(MonoTime now) const {
  return std::max(Duration::zero(), at_ - now);
}

bool CallDeadline::IsExpired(MonoTime now) const {
  return Remaining(now) <= kHopMargin;
}

std::int64_t CallDeadline::NextHopMillis(MonoTime now) const {
  return ToMillis(std::max(Duration::zero(), Remaining(now) - kHopMargin));
}

}  // namespace cumin
