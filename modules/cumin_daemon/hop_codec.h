#pragma once

#include "cumin_core/error.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/mesh_call.h"

namespace cumin {

/** Header field that marks a request between daemons as a call to the
    receiver's target. */
constexpr char kHopField[] = "Cumin-Hop";

/** Encodes a call as a request to the daemon beside its target, without the
    body, which is sent from the call.
    @param now  the deadlines are encoded as the time remaining from here, since
                the clocks of two daemons are not comparable */
HttpRequest EncodeHop(const MeshCall& call, MonoTime now);

/** Decodes a request made by EncodeHop.
    @param request  moved from
    @returns the call, or kProtocol with the field */
Result<MeshCall> DecodeHop(HttpRequest request, MonoTime now);

/** Encodes an outcome as the response to a request made by EncodeHop. */
HttpResponse EncodeOutcome(CallOutcome outcome);

/** Decodes a response made by EncodeOutcome.
    @param response  moved from
    @returns the outcome, or kProtocol */
Result<CallOutcome> DecodeOutcome(HttpResponse response);

}  // namespace cumin
