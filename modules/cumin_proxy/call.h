#pragma once

#include <optional>
#include <string>

#include "cumin_config/mesh.h"
#include "cumin_core/identifier.h"
#include "cumin_core/target_load.h"
#include "cumin_core/time.h"
#include "cumin_core/verdict.h"
#include "cumin_http/http_message.h"
#include "cumin_proxy/dispatch_guard.h"

namespace cumin {

/** Names one attempt to execute a call; a retry is another attempt. */
using AttemptId = Identifier<struct AttemptIdTag>;

/** One caller's request on its way to a target. */
struct Call {
  AttemptId attempt;
  /** The daemon where the caller's request arrived. */
  VmId ingress;
  CustomerId customer;
  ServiceId service;
  OperationId operation;
  Repeatability repeatability = Repeatability::kIdempotent;
  WorkClass work_class = WorkClass::kInteractive;
  /** The request as the target will see it. */
  HttpRequest request;
  /** Empty for idempotent operations. */
  IdempotencyKey key;
  /** When the caller first sent this key, by the caller's clock. */
  std::optional<WallTime> first_sent;
  /** No answer is of use after this. */
  MonoTime deadline;
  /** The caller's span, as a traceparent header. */
  std::string trace_parent;
  /** Configuration version that the ingress decided with. */
  std::uint64_t config_version = 0;
  /** The owner of the key's shard has admitted this attempt; it goes straight
      to a target. */
  bool is_admitted = false;
  /** Asked right before the call is handed to a target; may be null. */
  DispatchGuard* guard = nullptr;
};

/** How a call ended. */
struct CallResult {
  Verdict verdict = Verdict::kNotRun;
  /** The target's whole answer; only with Verdict::kRan. */
  HttpResponse response;
  /** Why there is no answer; only with the other verdicts. */
  Refusal refusal;
  /** The target's load, when its owner told it. */
  std::optional<TargetLoad> load;
  /** Who owns the key's shard, with RefusalReason::kNotShardOwner; may be
      empty. */
  VmId shard_owner;

  /** @returns the result of a call that no target got */
  static CallResult NotRun(RefusalReason reason, std::string detail) {
    return Refused(cumin::NotRun(reason, std::move(detail)));
  }

  /** @returns a result without an answer */
  static CallResult Refused(Refusal refusal) {
    CallResult result;
    result.verdict = refusal.verdict;
    result.refusal = std::move(refusal);
    return result;
  }
};

/** A way to have a call executed: by the target on this VM, by another daemon,
    or through the daemon that keeps the call's idempotency key. */
class CallPath {
 public:
  virtual ~CallPath() = default;

  /** Blocks until the call has ended or its deadline has passed. */
  virtual CallResult Execute(const Call& call) = 0;
};

}  // namespace cumin
