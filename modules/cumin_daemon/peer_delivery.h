#pragma once

#include <memory>
#include <optional>

#include "cumin_daemon/link_scheduler.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/response_pacer.h"
#include "cumin_http/wake_up.h"

namespace cumin {

/** The answer of one call on its way to the daemon that sent the call, from the
    call's admission until the answer is written or nobody waits for it. */
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

  /** @param ready_at  when the answer is expected
      @returns a refusal, always NotRun, when the answer could not cross the
      link in time */
  std::optional<Refusal> Admit(MonoTime ready_at);

  /** Takes the answer over for writing, if it is large; a small one is
      counted and not paced.
      @param self    this delivery
      @param answer  whose pacing is set */
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
