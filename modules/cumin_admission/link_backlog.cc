#include "cumin_admission/link_backlog.h"

#include <algorithm>

namespace cumin {

void LinkBacklog::OnSent(std::size_t bytes, MonoTime now) {
  if (bytes_per_s_ <= 0) {
    return;
  }
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           bytes_per_s_);
  busy_until_ =
      std::max(busy_until_, now) + std::chrono::duration_cast<Duration>(time);
}

Duration LinkBacklog::Wait(MonoTime now) const {
  return std::max<Duration>(Duration::zero(), busy_until_ - now);
}

}  // namespace cumin
