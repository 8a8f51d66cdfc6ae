#pragma once

#include <map>
#include <optional>

#include "cumin_admission/allotment_gate.h"
#include "cumin_admission/announcement_tracker.h"
#include "cumin_admission/byte_rate.h"
#include "cumin_admission/nested_calls.h"
#include "cumin_admission/suspect_table.h"
#include "cumin_config/config_freshness.h"
#include "cumin_config/route_table.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_daemon/event_log.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/link_scheduler.h"
#include "cumin_daemon/mesh_metrics.h"
#include "cumin_daemon/mesh_settings.h"
#include "cumin_http/http_connection_pool.h"
#include "cumin_http/request_budget.h"
#include "cumin_routing/retry_budget.h"
#include "cumin_routing/rollout_plan.h"
#include "cumin_routing/target_chooser.h"

namespace cumin {

/** State shared by the components of the daemon. All of them run on one event
    loop, so no locking is needed.
*/
struct DaemonContext {
  DaemonContext(MeshSettings mesh_settings, HeaderNames header_names,
                const asio::any_io_executor& loop, const Clock& time_source,
                std::uint64_t seed, int log_fd);
  DaemonContext(const DaemonContext&) = delete;
  DaemonContext& operator=(const DaemonContext&) = delete;

  const MeshSettings settings;
  const HeaderNames names;
  const asio::any_io_executor executor;
  const Clock& clock;
  SeededRandom random;
  EventLog log;
  HttpConnectionPool connections;
  /** The memory for the requests of callers and peers, and their connections.
   */
  const RefPtr<RequestBudget> request_budget;
  /** As request_budget, for the readiness check and announcements, which a
     crowd of callers must not shut out. */
  const RefPtr<RequestBudget> local_budget;
  LinkScheduler link;
  /** Bodies of requests that came over this VM's link. */
  ByteRate inbound;
  /** The active routes; null before the first version. */
  RefPtr<const RouteTable> routes;
  /** The newest version that a peer or the store is known to have. */
  std::uint64_t newest_known_version = 0;
  /** Time of the last response of the store to a configuration request of any
      daemon of this region. A pending watch does not count. */
  MonoTime last_store_contact;
  AnnouncementTracker announcements;
  /** Requests that crash targets. */
  SuspectTable suspects;
  /** How recent the active routes are known to be. */
  ConfigFreshness freshness;
  AllotmentGate allotments;
  NestedCalls nested_calls;
  /** Of the live members. */
  ServiceShares service_shares;
  /** The roll-outs that operators ordered, by service. */
  std::map<ServiceId, Rollout> rollouts;
  /** What the target has answered since the last report, by route; recorded
      while a version of its service is rolled out. */
  std::map<std::string, VersionSample> version_samples;
  /** Calls that hold a slot of the target. */
  int target_in_flight = 0;
  TargetChooser chooser;
  std::map<ServiceId, RetryBudget> retry_budgets;
  /** The largest number of live daemons seen. Not the present one, since both
      sides of a partition would take the other's share of the retries. */
  std::size_t most_live_daemons = 1;

  /** @returns this daemon's share of the retries that the fleet may make */
  double RetryShare() const;
  MeshMetrics metrics;
  /** Shutdown has begun: readiness fails, so that callers switch to other
      daemons. */
  bool is_shutting_down = false;
  /** This daemon accepts no new calls. */
  bool is_draining = false;
  /** When the process exits at the latest; set by the shutdown. */
  std::optional<MonoTime> exit_at;
  /** The routes are recent enough to serve, according to ReadinessRule. */
  bool ready = false;
};

}  // namespace cumin
