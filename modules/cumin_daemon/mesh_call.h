#pragma once

#include <string>

#include "cumin_config/route_table.h"
#include "cumin_core/target_load.h"
#include "cumin_core/verdict.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** One attempt of a caller on its way to a target. */
struct MeshCall {
  std::string attempt;
  /** The service that the target must belong to. */
  ServiceId service;
  /** The service on the VM where the call began. */
  ServiceId caller;
  std::string route;
  RouteKind kind = RouteKind::kIdempotent;
  int priority = 0;
  /** The caller waits until then. */
  MonoTime deadline;
  /** An answer after this is worth less. */
  MonoTime wanted_by;
  /** As the caller sent it, without the fields of one connection. */
  HttpRequest request;
};

/** How an attempt at one target ended. */
struct CallOutcome {
  Verdict verdict = Verdict::kNotRun;
  /** Set unless the verdict is kRan. */
  Refusal refusal;
  /** The target's answer when the verdict is kRan; also a failure that the
      target itself answered. */
  HttpResponse response;
  /** Whether the target's service counts this as an arrival. */
  bool reached_target = false;
  /** The load of the target after the call. */
  TargetLoad load;
  bool has_load = false;
};

/** @returns an outcome without an answer */
CallOutcome FailedOutcome(Verdict verdict, RefusalReason reason,
                          std::string detail,
                          Duration retry_after = Duration(0));

}  // namespace cumin
