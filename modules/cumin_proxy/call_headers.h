#pragma once

namespace cumin {

/** Header fields that callers send and receive. */
constexpr char kCustomerHeader[] = "Cumin-Customer";
constexpr char kDeadlineHeader[] = "Cumin-Deadline-Ms";
constexpr char kKeyHeader[] = "Idempotency-Key";
constexpr char kFirstSentHeader[] = "Cumin-First-Sent";
/** How many more tries the call may cost; a target that calls on passes it on.
 */
constexpr char kRetriesLeftHeader[] = "Cumin-Retries-Left";
constexpr char kVerdictHeader[] = "Cumin-Verdict";
constexpr char kReasonHeader[] = "Cumin-Reason";
constexpr char kRetryAfterHeader[] = "Retry-After";

/** Header fields between daemons. */
constexpr char kAttemptHeader[] = "Cumin-Attempt";
constexpr char kServiceHeader[] = "Cumin-Service";
constexpr char kOperationHeader[] = "Cumin-Operation";
constexpr char kConfigVersionHeader[] = "Cumin-Config-Version";
constexpr char kTargetPathHeader[] = "Cumin-Target-Path";
/** The daemon where the caller's request arrived. */
constexpr char kIngressHeader[] = "Cumin-Ingress";
constexpr char kAdmittedHeader[] = "Cumin-Admitted";
constexpr char kShardOwnerHeader[] = "Cumin-Shard-Owner";
constexpr char kLoadHeader[] = "Cumin-Load";

/** Paths that the daemon serves itself; all begin with kReservedPrefix. */
constexpr char kReservedPrefix[] = "/-/";
constexpr char kAnnouncePath[] = "/-/announce";
constexpr char kCallPath[] = "/-/call";
constexpr char kReadyPath[] = "/-/ready";
constexpr char kLivePath[] = "/-/live";
constexpr char kMetricsPath[] = "/-/metrics";

}  // namespace cumin
