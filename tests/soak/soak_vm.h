#pragma once

#include <memory>
#include <string>

#include "cumin_core/random.h"
#include "cumin_daemon/header_names.h"
#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"
#include "soak/fault_proxy.h"
#include "soak/soak_judge.h"
#include "standins/platform_store/platform_texts.h"
#include "support/child_process.h"

namespace cumin::test {

/** What the VMs of a run share; all of it outlives them. */
struct SoakWorld {
  asio::any_io_executor executor;
  const Clock& clock;
  Random& random;
  SoakJudge& judge;
  HttpConnectionPool& connections;
  const HeaderNames names;
  /** Where settings and logs go. */
  const std::string folder;
  /** The newest configuration whose write was acknowledged. */
  int version = 0;
};

/** One VM of a run: the daemon as a process, its target played here, and the
    links of both, which can be spoilt. */
class SoakVm final : public HttpRequestHandler {
 public:
  /** @param index  names the VM
      @param store  where the store listens */
  SoakVm(SoakWorld& world, int index, const Endpoint& store);
  ~SoakVm() override;

  /** Starts the daemon and keeps it running from now on. */
  void Start();

  /** SIGKILL, and a new daemon after a while. */
  void Kill(Duration down_for);

  /** SIGTERM, and a new daemon once this one has ended. */
  void Terminate();

  /** SIGSTOP and, after a while, SIGCONT. */
  Task<void> Pause(Duration length);

  /** Spoils the link to the target for a while. */
  Task<void> SpoilTargetLink(LinkFault fault, Duration length);

  /** Spoils the link to the store for a while. */
  Task<void> SpoilStoreLink(LinkFault fault, Duration length);

  /** The target leaves; after a while a new one is there. */
  Task<void> ReplaceTarget(Duration gone_for);

  /** @returns whether the daemon says that it takes calls */
  Task<bool> IsReady();

  /** Sends a call to the daemon and lets the judge see what comes of it.
      @returns the status, or 0 without an answer */
  Task<int> Call(std::string path, bool may_repeat);

  /** Asks for a route that only one version has. */
  Task<int> CallVersion(int version);

  /** Plays the target. */
  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

  const VmAddresses& addresses() const { return addresses_; }

 private:
  void StartDaemon();
  Task<void> KeepRunning();
  Task<void> AnnounceForever();
  Task<bool> Announce();
  void JudgeEnd();

  SoakWorld& world_;
  const int index_;
  VmAddresses addresses_;
  HttpListener target_listener_;
  std::unique_ptr<FaultProxy> target_link_;
  std::unique_ptr<FaultProxy> store_link_;
  std::unique_ptr<ChildProcess> daemon_;
  int boot_ = 0;
  bool was_told_to_end_ = false;
  bool was_killed_ = false;
  MonoTime start_at_;
  int target_number_ = 1;
  int sequence_ = 0;
  bool target_leaves_ = false;
  bool target_is_gone_ = false;
  int in_flight_ = 0;
  int next_attempt_ = 0;
};

}  // namespace cumin::test
