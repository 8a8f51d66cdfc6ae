#pragma once

#include <variant>

#include "cumin_config/config_snapshot.h"
#include "cumin_core/time.h"
#include "cumin_proxy/call.h"

namespace cumin {

/** A caller's request that its contract allows. */
struct PlannedCall {
  Call call;
  /** The contract's limits for it. */
  Grant grant;
};

/** Either a call to execute or why there is none. */
using CallPlan = std::variant<PlannedCall, Refusal>;

/** Checks a caller's request against the configuration in force.

    Decides only; nothing is sent.

    @param request   as received
    @param snapshot  the configuration in force
    @param now       when it was received; the deadline counts from here
    @returns the call without an attempt id, or a refusal, always not-run */
CallPlan PlanCall(const HttpRequest& request, const ConfigSnapshot& snapshot,
                  MonoTime now);

}  // namespace cumin
