#pragma once

#include <map>

#include "cumin_admission/announcement_book.h"
#include "cumin_config/route_table.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_daemon/event_log.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/link_scheduler.h"
#include "cumin_daemon/mesh_metrics.h"
#include "cumin_daemon/mesh_settings.h"
#include "cumin_http/http_connection_pool.h"
#include "cumin_routing/retry_budget.h"
#include "cumin_routing/target_chooser.h"

namespace cumin {

/** What the parts of the daemon share. All of them run on one event loop, so
    nothing here needs a lock.
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
  LinkScheduler link;
  /** The routes in force; null before the first version. */
  RefPtr<const RouteTable> routes;
  /** The newest version that a peer or the store was heard to have. */
  std::uint64_t newest_known_version = 0;
  /** When somebody of this region last heard the store; in the future while
      this daemon's own watch is in order. */
  MonoTime store_heard;
  AnnouncementBook announcements;
  TargetChooser chooser;
  /** By service. */
  std::map<ServiceId, RetryBudget> retry_budgets;
  MeshMetrics metrics;
  /** This daemon was told to end; callers are told to go elsewhere. */
  bool ends_soon = false;
  /** This daemon takes no new work any more. */
  bool leaving = false;
  /** This daemon holds the newest version that it could learn of. */
  bool ready = false;
};

}  // namespace cumin
