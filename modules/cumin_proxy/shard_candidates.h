#pragma once

#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_proxy/blackboard.h"

namespace cumin {

/** @returns the daemons that may own shards of the service: live ones beside a
    target of it that isn't leaving, this daemon included */
std::vector<VmId> ShardOwnerCandidates(const Blackboard& board,
                                       const ServiceId& service);

}  // namespace cumin
