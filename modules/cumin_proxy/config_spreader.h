#pragma once

#include <json/json.h>

#include <mutex>
#include <optional>
#include <string>

#include "cumin_fleet/retry_backoff.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_holder.h"
#include "cumin_proxy/fleet_state.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_proxy/task_pool.h"
#include "cumin_rpc/json_rpc_dispatcher.h"

namespace cumin {

/** Passes new configuration versions on, over the JSON-RPC methods config.push
    and config.pull.

    A push goes down the region's tree and once across each region link. A
    daemon that does not hold the version that the push starts from pulls from
    the pusher before it passes the push on. Thread-safe.
*/
class ConfigSpreader {
 public:
  /** All arguments outlive this object. */
  ConfigSpreader(Blackboard& board, ConfigHolder& config, FleetState& state,
                 PeerCaller& caller, TaskPool& pool);

  /** Adds this object's methods; before the first message. */
  void Register(JsonRpcDispatcher& dispatcher);

  /** Passes the version held on, from this daemon as the source.
      @param before  the version that most others hold */
  void SpreadFromHere(std::uint64_t before);

  /** Pulls the configuration from a peer.
      @returns whether a newer version is in force now */
  Result<GateDecision> PullFromPeer(const Member& peer);

  /** Starts the pull that anti-entropy asks for, if any. */
  void Repair();

 private:
  /** One version on its way. */
  struct Push {
    VmId from;
    /** The member of the receiver's region at which the version arrived. */
    VmId root;
    std::uint64_t version = 0;
    /** Absent when the receiver has to pull. */
    std::optional<ConfigDelta> delta;
  };

  static Json::Value ToJson(const Push& push);
  static Result<Push> ParsePush(const Json::Value& value);
  void PassOn(const Push& push, const VmId& node);
  void Send(const Push& push, const VmId& child);
  bool SendTo(const Push& push, const VmId& to);
  void CrossLink(const Push& push, const RegionId& region);

  Result<Json::Value> OnPush(const Json::Value& parameters);
  Result<Json::Value> OnPull(const Json::Value& parameters);

  Blackboard& board_;
  ConfigHolder& config_;
  FleetState& state_;
  PeerCaller& caller_;
  TaskPool& pool_;
  Counter& transfers_;
  Counter& pulls_;
  std::mutex serving_mutex_;
  ConcurrentRequestLimit serving_;
};

}  // namespace cumin
