#pragma once

#include <mutex>
#include <unordered_map>

#include "cumin_proxy/call.h"
#include "cumin_proxy/fleet_view.h"
#include "cumin_routing/retry_policy.h"
#include "cumin_routing/target_chooser.h"

namespace cumin {

/** The target choice and the retry budgets of this daemon's ingress, shared by
    workers. Thread-safe. */
class TargetRouter {
 public:
  /** @param self   where this daemon stands
      @param fleet  outlives this object */
  TargetRouter(Locality self, const FleetView& fleet)
      : fleet_(fleet), chooser_(std::move(self)) {}

  /** @see TargetChooser::Choose */
  std::optional<Member> Choose(const ChooseRequest& request, MonoTime now,
                               Random& random, Refusal* refusal);

  /** A try that Choose began has ended.
      @param vm      the target's VM
      @param result  how it ended */
  void Finish(const VmId& vm, const CallResult& result, MonoTime now);

  /** Counts a new call of a service for its retry budget. */
  void OnCall(const ServiceId& service);

  /** @see RetryPolicy::Decide */
  RetryDecision DecideRetry(const ServiceId& service, RetryPolicy& policy,
                            const Refusal& refusal,
                            const CallDeadline& deadline, MonoTime now);

 private:
  void Refresh(MonoTime now);

  const FleetView& fleet_;
  std::mutex mutex_;
  std::uint64_t revision_ = 0;
  TargetChooser chooser_;
  std::unordered_map<ServiceId, RetryBudget> budgets_;
};

}  // namespace cumin
