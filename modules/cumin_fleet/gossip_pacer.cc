#include "cumin_fleet/gossip_pacer.h"

#include <algorithm>

namespace cumin {

GossipPacer::GossipPacer(const GossipPacerSettings& settings)
    : settings_(settings), tokens_(settings.burst) {}

bool GossipPacer::Take(MonoTime now, bool has_fresh) {
  Refill(now);
  if (!has_fresh || tokens_ < 1 || now - last_sent_ < settings_.interval) {
    return false;
  }
  tokens_ -= 1;
  last_sent_ = now;
  return true;
}

void GossipPacer::Refill(MonoTime now) {
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ = std::min(settings_.burst,
                     tokens_ + passed.count() * settings_.rate_per_s);
  refilled_ = now;
}

}  // namespace cumin
