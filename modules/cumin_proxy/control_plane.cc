#include "cumin_proxy/control_plane.h"

namespace cumin {

namespace {

constexpr int kThreads = 4;
constexpr std::size_t kMaxQueue = 1024;

Member SelfOf(const Blackboard& board) {
  Member self;
  self.vm = board.settings.vm;
  self.endpoint = board.settings.listen;
  self.region = board.settings.region;
  self.failure_domain = board.settings.failure_domain;
  // Above that of an earlier run as long as the clock did not step back; the
  // peers tell when it did.
  self.incarnation =
      static_cast<std::uint64_t>(ToUnixMillis(board.clock.WallNow()));
  return self;
}

}  // namespace

ControlPlane::ControlPlane(Blackboard& board, Store& store,
                           JsonRpcDispatcher& dispatcher)
    : config_(board.config, board.metrics),
      fleet_state_(board, config_, SelfOf(board)),
      caller_(board.metrics, board.settings.region),
      pool_(kThreads, kMaxQueue),
      spreader_(board, config_, fleet_state_, caller_, pool_),
      status_(board, store, config_, fleet_state_, caller_),
      fleet_controller_(board, store, fleet_state_, caller_, pool_, spreader_),
      config_controller_(board, store, config_, fleet_state_, spreader_),
      rate_controller_(board, caller_) {
  fleet_controller_.Register(dispatcher);
  spreader_.Register(dispatcher);
  status_.Register(dispatcher);
  rate_controller_.Register(dispatcher);
}

void ControlPlane::Start(const Endpoint& endpoint) {
  fleet_state_.SetEndpoint(endpoint);
  fleet_controller_.Start();
  config_controller_.Start();
  rate_controller_.Start();
}

void ControlPlane::Leave() {
  fleet_controller_.Stop();
  fleet_controller_.Leave();
  config_controller_.Stop();
  rate_controller_.Stop();
  pool_.Stop();
}

}  // namespace cumin
