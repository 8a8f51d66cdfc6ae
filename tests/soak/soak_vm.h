#pragma once

#include <memory>
#include <string>

#include "cumin_core/random.h"
#include "cumin_daemon/header_names.h"
#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"
#include "soak/fault_proxy.h"
#include "soak/guarantee_checker.h"
#include "standins/platform_store/platform_texts.h"
#include "support/child_process.h"

namespace cumin::test {

/** Objects that the VMs of a run share; they outlive the VMs. */
struct SoakContext {
  asio::any_io_executor executor;
  const Clock& clock;
  Random& random;
  GuaranteeChecker& checker;
  HttpConnectionPool& connections;
  const HeaderNames names;
  /** Receives the settings and logs of the daemons. */
  const std::string folder;
  /** The newest configuration version whose write to the store succeeded. */
  int version = 0;
};

/** One VM of a run: a daemon process, its target simulated in this process, and
    proxies on the daemon's links to target and store that inject faults. */
class SoakVm final : public HttpRequestHandler {
 public:
  /** @param index  the position of the VM, which gives its name and place
      @param store  the address of the store */
  SoakVm(SoakContext& context, int index, const Endpoint& store);
  ~SoakVm() override;

  /** Starts the daemon, and restarts it whenever it exits. */
  void Start();

  /** Sends SIGKILL; the daemon is restarted after `down_for`. */
  void Kill(Duration down_for);

  /** Sends SIGTERM; the daemon is restarted once it has exited. */
  void Terminate();

  /** Sends SIGSTOP and, after `length`, SIGCONT. */
  Task<void> Pause(Duration length);

  /** Applies a fault to the link to the target for `length`. */
  Task<void> InjectTargetLinkFault(LinkFault fault, Duration length);

  /** Applies a fault to the link to the store for `length`. */
  Task<void> InjectStoreLinkFault(LinkFault fault, Duration length);

  /** Lets the target leave and replaces it `gone_for` after its last call.
      Does nothing while an earlier replacement is under way. */
  Task<void> ReplaceTarget(Duration gone_for);

  /** @returns whether the daemon reports that it is ready */
  Task<bool> IsReady();

  /** Sends a call to the daemon and reports its outcome to the checker.
      @returns the HTTP status, or 0 without an answer */
  Task<int> Call(std::string path, bool is_idempotent);

  /** Calls the route that exists in this configuration version only.
      @returns the HTTP status, or 0 without an answer */
  Task<int> CallVersionRoute(int version);

  /** Answers a request of the daemon as the target. */
  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

  const VmAddresses& addresses() const { return addresses_; }

 private:
  void StartDaemon();
  Task<void> SuperviseDaemon();
  Task<void> AnnounceForever();
  Task<bool> Announce();
  void CheckExitStatus();

  SoakContext& context_;
  const int index_;
  VmAddresses addresses_;
  HttpListener target_listener_;
  std::unique_ptr<FaultProxy> target_link_;
  std::unique_ptr<FaultProxy> store_link_;
  std::unique_ptr<ChildProcess> daemon_;
  int boot_ = 0;
  bool stop_was_requested_ = false;
  bool was_killed_ = false;
  MonoTime restart_at_;
  int target_number_ = 1;
  int sequence_ = 0;
  bool target_is_leaving_ = false;
  bool target_is_gone_ = false;
  int in_flight_ = 0;
  int next_attempt_ = 0;
};

}  // namespace cumin::test
