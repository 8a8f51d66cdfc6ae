#include "cumin_store/store_backoff.h"

#include <algorithm>

namespace cumin {

namespace {

/** Prevents overflow of the doubled wait. */
constexpr int kMaxDoublings = 20;

}  // namespace

void StoreBackoff::OnFailure(MonoTime now, Random& random) {
  const int doublings = std::min(failures_, kMaxDoublings);
  const Duration limit =
      std::min(options_.cap, options_.first * (std::int64_t{1} << doublings));
  const auto wait = random.Below(static_cast<std::uint64_t>(limit.count()) + 1);
  next_call_at_ = now + Duration(wait);
  ++failures_;
}

void StoreBackoff::OnSuccess() {
  failures_ = 0;
  next_call_at_ = MonoTime{};
}

}  // namespace cumin
