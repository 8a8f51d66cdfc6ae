#pragma once

#include <memory>
#include <optional>

#include "cumin_daemon/link_scheduler.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/response_pacer.h"
#include "cumin_http/wake_up.h"

namespace cumin {

/** Paces the response of one call to the daemon that sent the call, from the
    call's admission until the response is written or the caller is gone. */
class PeerResponsePacer final : public ResponsePacer,
                                private PeerTransfer,
                                private CallerWatch::Listener {
 public:
  /** @param link    outlives this
      @param caller  outlives this */
  PeerResponsePacer(LinkScheduler& link, const asio::any_io_executor& executor,
                    const Clock& clock, const MeshCall& call,
                    CallerWatch& caller);
  ~PeerResponsePacer() override;
  PeerResponsePacer(const PeerResponsePacer&) = delete;
  PeerResponsePacer& operator=(const PeerResponsePacer&) = delete;

  /** @param ready_at  expected time of the response
      @returns a refusal, always NotRun, when the response could not be sent
      over the link in time */
  std::optional<Refusal> Admit(MonoTime ready_at);

  /** Accounts for the response on the link, and sets its pacing if it is large;
      small responses are not paced.
      @param self    shared with the response's pacing
      @param answer  receives the pacing */
  static void Attach(const std::shared_ptr<PeerResponsePacer>& self,
                     HttpResponse* answer);

  Task<std::size_t> NextBytes(std::size_t left) override;

 private:
  void OnTurn(std::size_t n) override;
  void OnCallerGone() override;

  LinkScheduler& link_;
  const Clock& clock_;
  CallerWatch& caller_;
  const bool is_download_;
  WakeUp wake_up_;
  std::size_t granted_ = 0;
};

}  // namespace cumin
