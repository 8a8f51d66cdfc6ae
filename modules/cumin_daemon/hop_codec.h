#pragma once

#include "cumin_core/error.h"
#include "cumin_daemon/header_names.h"
#include "cumin_daemon/mesh_call.h"

namespace cumin {

/** The field that marks a request between daemons as a call for the receiver's
    target. */
constexpr char kHopField[] = "Cumin-Hop";

/** Writes a call as a request to the daemon beside its target.
    @param call  the call
    @param now   the time; what is left of the deadlines travels */
HttpRequest EncodeHop(const MeshCall& call, MonoTime now);

/** Reads a request of EncodeHop.
    @param request  moved from
    @returns the call, or kInvalid with the field */
Result<MeshCall> DecodeHop(HttpRequest request, MonoTime now);

/** Writes an outcome as the answer to a request of EncodeHop. */
HttpResponse EncodeOutcome(CallOutcome outcome);

/** Reads an answer of EncodeOutcome.
    @param response  moved from
    @returns the outcome, or kProtocol */
Result<CallOutcome> DecodeOutcome(HttpResponse response);

}  // namespace cumin
