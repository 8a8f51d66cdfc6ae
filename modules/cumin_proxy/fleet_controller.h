#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cumin_fleet/retry_backoff.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_spreader.h"
#include "cumin_proxy/controller.h"
#include "cumin_proxy/fleet_directory.h"
#include "cumin_proxy/fleet_state.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_proxy/task_pool.h"
#include "cumin_rpc/json_rpc_dispatcher.h"

namespace cumin {

/** Carries out the fleet's decisions: probes, joins and table repair, over the
    JSON-RPC methods fleet.ping, fleet.ping_req, fleet.page and fleet.compare.
*/
class FleetController final : public Controller {
 public:
  /** All arguments outlive this object. */
  FleetController(Blackboard& board, Store& store, FleetState& state,
                  PeerCaller& caller, TaskPool& pool, ConfigSpreader& spreader);
  ~FleetController() override;

  /** Adds this controller's methods; before the first message. */
  void Register(JsonRpcDispatcher& dispatcher);

  /** Tells some peers that this daemon ends. */
  void Leave();

 protected:
  Duration Step() override;

 private:
  void Carry(const DetectorAction& action);
  void Probe(const SendProbe& probe);
  void ProbeThrough(const SendIndirectProbe& ask);
  Result<GossipMessage> Ping(const Member& peer, Duration timeout);
  void CompareWith(const Member& peer);
  void KeepJoined(MonoTime now);
  void Join();
  bool JoinThrough(const Member& contact);
  void GreetPeers(std::size_t count);

  Result<Json::Value> OnPing(const Json::Value& parameters);
  Result<Json::Value> OnPingRequest(const Json::Value& parameters);
  Result<Json::Value> OnPage(const Json::Value& parameters);
  Result<Json::Value> OnCompare(const Json::Value& parameters);

  Blackboard& board_;
  FleetState& state_;
  PeerCaller& caller_;
  TaskPool& pool_;
  ConfigSpreader& spreader_;
  FleetDirectory directory_;
  RetryBackoff join_backoff_;
  MonoTime next_join_;
  MonoTime next_upkeep_;
  std::atomic<bool> joining_{false};
  std::mutex serving_mutex_;
  ConcurrentRequestLimit serving_;
};

}  // namespace cumin
