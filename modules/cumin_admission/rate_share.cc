#include "cumin_admission/rate_share.h"

#include <algorithm>
#include <cmath>

namespace cumin {

namespace {

/** Time constant of the exponentially decaying demand estimate. */
constexpr double kDemandWindowS = 1;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RateShare::OnArrival(MonoTime now) {
  demand_per_s_ = Demand(now) + 1 / kDemandWindowS;
  demand_at_ = now;
}

double RateShare::TakeReport(MonoTime now) {
  // Peers have had a whole interval to receive the previous report.
  known_per_s_ = reported_per_s_;
  reported_per_s_ = Demand(now);
  reported_at_ = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool is_stale = now - it->second.received_at > policy_.report_max_age;
    it = is_stale ? peers_.erase(it) : std::next(it);
  }
  return reported_per_s_;
}

void RateShare::OnReport(const VmId& source, double demand_per_s,
                         MonoTime now) {
  peers_[source] = PeerDemand{std::max(0.0, demand_per_s), now};
}

double RateShare::RatePerS(double rate_per_s, MonoTime now) const {
  const double peers = PeerDemandSum(now);
  const double known = KnownDemand(now);
  if (known + peers > rate_per_s) {
    const double part = known / (known + peers);
    return rate_per_s * part;
  }
  // Capacity that no daemon claims is available to each of them.
  return rate_per_s - peers;
}

double RateShare::Demand(MonoTime now) const {
  const double elapsed_s =
      static_cast<double>((now - demand_at_).count()) / kMicrosPerSecond;
  return demand_per_s_ * std::exp(-std::max(0.0, elapsed_s) / kDemandWindowS);
}

double RateShare::PeerDemandSum(MonoTime now) const {
  double sum = 0;
  for (const auto& [source, peer] : peers_) {
    if (now - peer.received_at <= policy_.report_max_age) {
      sum += peer.demand_per_s;
    }
  }
  return sum;
}

double RateShare::KnownDemand(MonoTime now) const {
  const bool is_known_to_peers = now - reported_at_ >= policy_.report_interval;
  const double known = is_known_to_peers
                           ? reported_per_s_
                           : std::min(known_per_s_, reported_per_s_);
  const double current = Demand(now);
  const double growth = std::max(0.0, current - known);
  return known + policy_.early_fraction * growth;
}

}  // namespace cumin
