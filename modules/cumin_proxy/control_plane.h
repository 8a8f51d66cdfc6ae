#pragma once

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_controller.h"
#include "cumin_proxy/config_holder.h"
#include "cumin_proxy/config_spreader.h"
#include "cumin_proxy/fleet_controller.h"
#include "cumin_proxy/fleet_state.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_proxy/rate_controller.h"
#include "cumin_proxy/status_service.h"
#include "cumin_proxy/task_pool.h"

namespace cumin {

/** The parts of a daemon that keep membership and configuration current. */
class ControlPlane {
 public:
  /** Registers its methods with the dispatcher.
      All arguments outlive this object. */
  ControlPlane(Blackboard& board, Store& store, JsonRpcDispatcher& dispatcher);

  /** Starts the controllers.
      @param endpoint  where this daemon is reached */
  void Start(const Endpoint& endpoint);

  /** Tells some peers that this daemon ends and stops the controllers. */
  void Leave();

  /** @returns the fleet's decisions, for the call paths */
  FleetState& fleet() { return fleet_state_; }

 private:
  ConfigHolder config_;
  FleetState fleet_state_;
  PeerCaller caller_;
  TaskPool pool_;
  ConfigSpreader spreader_;
  StatusService status_;
  FleetController fleet_controller_;
  ConfigController config_controller_;
  RateController rate_controller_;
};

}  // namespace cumin
