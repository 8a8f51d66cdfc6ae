#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include "cumin_admission/demand_aggregator.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/controller.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"

namespace cumin {

/** Exchanges the customers' demand between daemons, by which the fleet-wide
    rates are split.

    For each customer, one live daemon, the same on every VM, adds up the demand
    (rendezvous hashing). A daemon reports to it when its own demand changed,
   and at least twice in the lifetime of a report, and is told the others'
   demand.
*/
class RateController final : public Controller {
 public:
  /** Both arguments outlive this object. */
  RateController(Blackboard& board, PeerCaller& caller);
  ~RateController() override;

  /** Registers the method "rate.report". */
  void Register(JsonRpcDispatcher& dispatcher);

 protected:
  Duration Step() override;

 private:
  using Reports = std::vector<DemandReport>;

  Member CoordinatorOf(const CustomerId& customer);
  void Send(const Member& coordinator, const Reports& reports);
  void ExchangeHere(const Reports& reports);
  void TakeIn(const CustomerId& customer, double others_per_s);
  Result<Json::Value> OnReport(const Json::Value& parameters);

  Blackboard& board_;
  PeerCaller& caller_;
  std::uint64_t coordinators_revision_ = 0;
  std::map<CustomerId, Member> coordinators_;
  std::mutex board_mutex_;
  DemandAggregator demand_board_;
};

}  // namespace cumin
