#pragma once

#include "cumin_config/config_snapshot.h"
#include "cumin_core/error.h"
#include "cumin_proxy/call.h"

namespace cumin {

/** Packs a call into the request that one daemon sends to another.
    @param now  to state the deadline as the time that is left */
HttpRequest EncodeCall(const Call& call, MonoTime now);

/** Unpacks a call from another daemon.
    @param request   as received
    @param snapshot  gives the operation's properties
    @param now       when it was received
    @returns the call, or kInvalid naming the header */
Result<Call> DecodeCall(const HttpRequest& request,
                        const ConfigSnapshot& snapshot, MonoTime now);

/** Packs a call's end into the answer between daemons. */
HttpResponse EncodeResult(const CallResult& result, const AttemptId& attempt);

/** Unpacks the answer of another daemon.
    @param response  as received, whole
    @param attempt   the attempt that was sent
    @returns the result; may-have-run when the answer belongs to another
             attempt or carries no verdict */
CallResult DecodeResult(const HttpResponse& response, const AttemptId& attempt);

/** Packs a call's end into the answer to a caller. */
HttpResponse ToCallerResponse(const CallResult& result);

/** Reads a whole number from a header.
    @returns nothing when it is absent or not a number of up to 18 digits */
std::optional<std::int64_t> ReadNumber(const HttpHeaders& headers,
                                       const std::string& name);

}  // namespace cumin
