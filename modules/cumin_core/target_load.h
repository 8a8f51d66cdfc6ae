#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** A target's load at one moment, as counted by the daemon on its VM; sent with
    each response. */
struct TargetLoad {
  /** Number of calls that hold a slot. */
  int in_flight = 0;
  /** Number of calls that wait for a slot. */
  int queued = 0;
  /** Maximum number of concurrent calls; below the announced slots while the
      target warms up, and zero when there is no target. */
  int usable_slots = 0;
  /** The target is draining: it accepts no new calls, now or soon. */
  bool leaving = false;
  /** Mean time that a call holds a slot; zero when unknown. */
  Duration mean_time{0};
  /** Time that the admitted responses take to cross the VM's link. */
  Duration link_wait{0};
  /** Part of the VM's link that incoming requests use, in percent of what it
      carries without delay. */
  int inbound_percent = 0;

  friend bool operator==(const TargetLoad& a, const TargetLoad& b) {
    return a.in_flight == b.in_flight && a.queued == b.queued &&
           a.usable_slots == b.usable_slots && a.leaving == b.leaving &&
           a.mean_time == b.mean_time && a.link_wait == b.link_wait &&
           a.inbound_percent == b.inbound_percent;
  }
};

}  // namespace cumin
