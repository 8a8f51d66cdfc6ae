#pragma once

#include <opentracing/tracer.h>

#include <atomic>
#include <memory>
#include <mutex>

#include "cumin_config/version_gate.h"
#include "cumin_core/metrics.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_proxy/daemon_settings.h"
#include "cumin_proxy/fleet_view.h"
#include "cumin_proxy/rate_table.h"
#include "cumin_proxy/target_gate.h"
#include "cumin_proxy/target_router.h"
#include "cumin_proxy/target_slot.h"

namespace cumin {

/** Randomness that threads share. */
class SharedRandom final : public Random {
 public:
  /** @param seed  seed of the sequence */
  explicit SharedRandom(std::uint64_t seed) : random_(seed) {}

  std::uint64_t Next() override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return random_.Next();
  }

 private:
  std::mutex mutex_;
  SeededRandom random_;
};

/** The tables that the controllers write and the call paths read.

    Each table has its own lock inside and is thread-safe on its own. A thread
    that needs two of them at a time takes them in the order of the members
    below: config, fleet, target, router, gate, rates. No lock is held across
   I/O.
*/
struct Blackboard {
  /** @param the_settings  as checked at start
      @param the_clock     outlives the blackboard
      @param seed          seed of the daemon's randomness */
  Blackboard(DaemonSettings the_settings, const Clock& the_clock,
             std::uint64_t seed)
      : settings(std::move(the_settings)),
        clock(the_clock),
        random(seed),
        router(Locality{settings.region, settings.failure_domain}, fleet),
        gate(settings.vm, clock, metrics) {}

  const DaemonSettings settings;
  const Clock& clock;
  SharedRandom random;
  MetricRegistry metrics;
  std::shared_ptr<opentracing::Tracer> tracer;

  /** The configuration in force. */
  VersionGate config;
  /** The other daemons and their targets. */
  FleetView fleet;
  /** The target on this VM. */
  TargetSlot target;
  /** The choice among the fleet's targets, with their loads as last told. */
  TargetRouter router;
  /** The slots and the queue of the target on this VM. */
  TargetGate gate;
  /** What this daemon lets pass of each customer's rate. */
  RateTable rates;

  /** The daemon holds a configuration that it may serve with. */
  std::atomic<bool> ready{false};
  /** The daemon was told to end and says so. */
  std::atomic<bool> leaving{false};
  /** The daemon takes no more callers' requests. */
  std::atomic<bool> refuses_callers{false};
};

}  // namespace cumin
