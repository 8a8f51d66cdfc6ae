#include "cumin_daemon/peer_response_pacer.h"

#include <algorithm>

namespace cumin {

namespace {

/** Expected size of a download before the first one has been seen. */
constexpr std::size_t kDefaultDownloadBytes = std::size_t{64} * 1024;
/** Bytes sent besides a body: status line, header fields, packet headers. */
constexpr std::size_t kResponseOverheadBytes = 500;

}  // namespace

PeerResponsePacer::PeerResponsePacer(LinkScheduler& link,
                                     const asio::any_io_executor& executor,
                                     const Clock& clock, const MeshCall& call,
                                     CallerWatch& caller)
    : link_(link),
      clock_(clock),
      caller_(caller),
      is_download_(call.kind == RouteKind::kDownload),
      wake_up_(executor) {
  operation = call.route;
  priority = call.priority;
  deadline = call.deadline;
  wanted_by = call.wanted_by;
}

PeerResponsePacer::~PeerResponsePacer() { caller_.SetListener(nullptr); }

std::optional<Refusal> PeerResponsePacer::Admit(MonoTime ready_at) {
  const std::size_t n = is_download_ ? kDefaultDownloadBytes : 0;
  return link_.budget().Admit(*this, n, ready_at, clock_.Now());
}

void PeerResponsePacer::Attach(const std::shared_ptr<PeerResponsePacer>& self,
                               HttpResponse* answer) {
  const std::size_t n = answer->body.size();
  LinkScheduler& link = self->link_;
  link.Charge(kResponseOverheadBytes);
  link.budget().OnAnswer(*self, n);
  if (n <= LinkBudget::kLargeAnswerBytes) {
    link.Charge(n);
    return;
  }
  self->caller_.SetListener(self.get());
  answer->pacing = self;
}

Task<std::size_t> PeerResponsePacer::NextBytes(std::size_t left) {
  if (!link_.budget().is_limited()) {
    co_return left;
  }
  if (caller_.is_gone()) {
    co_return 0;
  }
  granted_ = 0;
  link_.budget().AwaitTurn(*this);
  link_.GrantTurns();
  const auto limit =
      std::chrono::duration_cast<Duration>(deadline - clock_.Now());
  co_await wake_up_.WaitFor(std::max(Duration::zero(), limit));
  is_waiting = false;
  co_return std::min(granted_, left);
}

void PeerResponsePacer::OnTurn(std::size_t n) {
  granted_ = n;
  wake_up_.Notify();
}

void PeerResponsePacer::OnCallerGone() {
  is_waiting = false;
  wake_up_.Notify();
}

}  // namespace cumin
