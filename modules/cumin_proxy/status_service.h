#pragma once

#include <json/json.h>

#include <vector>

#include "cumin_config/status_report.h"
#include "cumin_fleet/gather_plan.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_holder.h"
#include "cumin_proxy/fleet_state.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"
#include "cumin_store/store.h"

namespace cumin {

/** Says which configuration version is in force where, on demand, over the
    JSON-RPC methods status.self, status.gather, config.history and
    config.bundle.

    status.gather asks the whole fleet in two levels and takes an optional list
    `members` of VMs to ask instead. Thread-safe.
*/
class StatusService {
 public:
  /** All arguments outlive this object. */
  StatusService(Blackboard& board, Store& store, ConfigHolder& config,
                FleetState& state, PeerCaller& caller);

  /** Adds this object's methods; before the first message. */
  void Register(JsonRpcDispatcher& dispatcher);

  /** @returns what the whole fleet has in force */
  StatusReport GatherAll();

 private:
  void ReadStoreHead(StatusReport* report);
  MemberVersionReport Own() const;
  MemberVersionReport Ask(const VmId& vm);
  std::vector<MemberVersionReport> AskEach(const std::vector<VmId>& members);
  std::vector<MemberVersionReport> AskThrough(const GatherChunk& chunk);
  bool AskVia(const VmId& via, const GatherChunk& chunk,
              std::vector<MemberVersionReport>* reports);
  Result<Json::Value> OnGather(const Json::Value& parameters);
  Result<Json::Value> OnHistory(const Json::Value& parameters);
  Result<Json::Value> OnBundle(const Json::Value& parameters);

  Blackboard& board_;
  Store& store_;
  ConfigHolder& config_;
  FleetState& state_;
  PeerCaller& caller_;
};

}  // namespace cumin
