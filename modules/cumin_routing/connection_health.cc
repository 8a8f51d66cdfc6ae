#include "cumin_routing/connection_health.h"

#include <algorithm>

namespace cumin {

namespace {

/** A connection used more recently than this is taken to work. */
constexpr Duration kProbeIdleTime = std::chrono::seconds(3);
/** An idempotent call can be sent again, so it risks more idle time. */
constexpr Duration kProbeIdempotentIdleTime = std::chrono::seconds(15);
constexpr Duration kMaxIdleTime = std::chrono::seconds(60);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

}  // namespace

ConnectionDecision ConnectionHealth::Decide(const ConnectionTimes& connection,
                                            Repeatability repeatability,
                                            MonoTime now) const {
  const Duration idle = now - connection.used_at;
  if (connection.opened_at < distrust_opened_before_ || idle > kMaxIdleTime) {
    return ConnectionDecision::kReplace;
  }
  const Duration limit = repeatability == Repeatability::kIdempotent
                             ? kProbeIdempotentIdleTime
                             : kProbeIdleTime;
  const bool is_doubtful =
      idle > limit || connection.used_at < probe_used_before_;
  return is_doubtful ? ConnectionDecision::kProbe : ConnectionDecision::kUse;
}

void ConnectionHealth::OnTimeout(const ConnectionTimes& connection,
                                 MonoTime sent_at) {
  // The connection itself is distrusted too; one opened later is not.
  distrust_opened_before_ =
      std::max(distrust_opened_before_, connection.opened_at + Duration(1));
  probe_used_before_ = std::max(probe_used_before_, sent_at);
}

Duration ConnectionHealth::ProbeTimeout() { return kProbeTimeout; }

}  // namespace cumin
