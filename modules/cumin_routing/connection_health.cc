#include "cumin_routing/connection_health.h"

#include <algorithm>

namespace cumin {

namespace {

/** A connection used more recently than this is assumed to work. */
constexpr Duration kProbeIdleTime = std::chrono::seconds(3);
/** Longer for idempotent calls, which can be retried after a timeout. */
constexpr Duration kProbeIdempotentIdleTime = std::chrono::seconds(15);
constexpr Duration kMaxIdleTime = std::chrono::seconds(60);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

}  // namespace

ConnectionDecision ConnectionHealth::Decide(const ConnectionTimes& connection,
                                            Repeatability repeatability,
                                            MonoTime now) const {
  const Duration idle = now - connection.used_at;
  if (connection.opened_at < replace_opened_before_ || idle > kMaxIdleTime) {
    return ConnectionDecision::kReplace;
  }
  const Duration limit = repeatability == Repeatability::kIdempotent
                             ? kProbeIdempotentIdleTime
                             : kProbeIdleTime;
  const bool needs_probe =
      idle > limit || connection.used_at < probe_used_before_;
  return needs_probe ? ConnectionDecision::kProbe : ConnectionDecision::kUse;
}

void ConnectionHealth::OnTimeout(const ConnectionTimes& connection,
                                 MonoTime sent_at) {
  // Includes the connection that timed out, but none opened after it.
  replace_opened_before_ =
      std::max(replace_opened_before_, connection.opened_at + Duration(1));
  probe_used_before_ = std::max(probe_used_before_, sent_at);
}

Duration ConnectionHealth::ProbeTimeout() { return kProbeTimeout; }

}  // namespace cumin
