#include "cumin_daemon/daemon_context.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

/** Consecutive announcements missed before a target is considered gone. */
constexpr int kMissedAnnouncements = 4;
/** Part of the process's memory that response bodies may take. A body that
    grows is copied to twice its memory, so that three times this part can be in
    use for a moment. */
constexpr double kBodyMemoryShare = 0.2;
/** Part of the process's memory that large bodies of requests may take; small
    ones may take half as much besides. */
constexpr double kRequestMemoryShare = 0.25;
/** As kRequestMemoryShare, for the readiness check and announcements. */
constexpr double kLocalMemoryShare = 0.03;
/** Parts of the process's descriptors that accepted connections may take. The
    rest is for connections to peers, the target and the store. */
constexpr double kCallerConnectionShare = 0.4;
constexpr double kPeerConnectionShare = 0.3;
constexpr double kLocalConnectionShare = 0.05;
constexpr double kBytesPerMegabyte = 1024 * 1024;

/** @returns that share of the process's memory, in bytes; a default when the
    memory is not limited */
std::size_t MemoryShare(const MeshSettings& settings, double share) {
  if (settings.memory_mb == 0) {
    return HttpConnectionPool::kDefaultMaxBodyBytes;
  }
  return static_cast<std::size_t>(settings.memory_mb * share *
                                  kBytesPerMegabyte);
}

/** @returns that share of the process's descriptors, at least 1 */
std::size_t DescriptorShare(const MeshSettings& settings, double share) {
  const std::int64_t limit =
      settings.max_fds > 0 ? settings.max_fds : sysconf(_SC_OPEN_MAX);
  return static_cast<std::size_t>(
      std::max(1.0, static_cast<double>(limit) * share));
}

}  // namespace

DaemonContext::DaemonContext(MeshSettings mesh_settings,
                             HeaderNames header_names,
                             const asio::any_io_executor& loop,
                             const Clock& time_source, std::uint64_t seed,
                             int log_fd)
    : settings(std::move(mesh_settings)),
      names(std::move(header_names)),
      executor(loop),
      clock(time_source),
      random(seed),
      log(settings.vm.str(), time_source, log_fd),
      connections(loop, MemoryShare(settings, kBodyMemoryShare)),
      request_budget(
          new RequestBudget(MemoryShare(settings, kRequestMemoryShare))),
      local_budget(new RequestBudget(MemoryShare(settings, kLocalMemoryShare))),
      link(loop, time_source, settings.link_mbps),
      last_store_contact(time_source.Now()),
      announcements(settings.announce_interval * kMissedAnnouncements),
      freshness(settings.key_withdrawal_limit),
      chooser(Locality{settings.region, settings.failure_domain}) {
  using Origin = RequestBudget::Origin;
  request_budget->SetMaxConnections(
      Origin::kCallers, DescriptorShare(settings, kCallerConnectionShare));
  request_budget->SetMaxConnections(
      Origin::kPeers, DescriptorShare(settings, kPeerConnectionShare));
  for (const Origin it : {Origin::kCallers, Origin::kPeers}) {
    local_budget->SetMaxConnections(
        it, DescriptorShare(settings, kLocalConnectionShare));
  }
}

double DaemonContext::RetryShare() const {
  if (settings.retry_slack == 0) {
    return RetryBudget::kDefaultMaxRetries;
  }
  return std::min(
      RetryBudget::kDefaultMaxRetries,
      settings.retry_slack / static_cast<double>(most_live_daemons));
}

}  // namespace cumin
