#pragma once

#include <optional>
#include <string>

#include "cumin_admission/suspect_table.h"
#include "cumin_config/route_table.h"
#include "cumin_core/target_load.h"
#include "cumin_core/verdict.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** One attempt of a caller, to be forwarded to a target. */
struct MeshCall {
  std::string attempt;
  /** Service that must run the call. */
  ServiceId service;
  /** Service on the VM from which the call originates. */
  ServiceId caller;
  std::string route;
  RouteKind kind = RouteKind::kIdempotent;
  int priority = 0;
  /** The caller waits until this time. */
  MonoTime deadline;
  /** Time by which the route's latency target is met; a later answer is worth
      less. */
  MonoTime wanted_by;
  /** As sent by the caller, without hop-by-hop header fields. */
  HttpRequest request;
  /** What the caller's daemon knows of crashes under this request. */
  std::optional<SuspectRecord> suspicion;
};

/** How an attempt at one target ended. */
struct CallOutcome {
  Verdict verdict = Verdict::kNotRun;
  /** Set unless the verdict is kRan. */
  Refusal refusal;
  /** The target's response when the verdict is kRan, including an error
      response of the target itself. */
  HttpResponse response;
  /** Whether the call counts as received by the target's service. */
  bool reached_target = false;
  /** The load of the target after the call. */
  TargetLoad load;
  bool has_load = false;
  /** What the target's daemon knows of crashes under this request. */
  std::optional<SuspectRecord> suspicion;
};

/** @returns the fingerprint of the caller's request: of its method, host, path,
    query and body and the service that sent it. It does not depend on the
    attempt, the daemon or the target. */
RequestFingerprint FingerprintOf(const MeshCall& call);

/** @returns the refusal of a request whose body this daemon has no memory for;
    its body was not read */
Refusal RefusalForBody();

/** @returns an outcome without a response */
CallOutcome FailedOutcome(Refusal refusal);
CallOutcome FailedOutcome(Verdict verdict, RefusalReason reason,
                          std::string detail,
                          Duration retry_after = Duration(0));

}  // namespace cumin
