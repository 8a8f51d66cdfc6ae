#include "cumin_daemon/hop_codec.h"

#include <sstream>
#include <utility>

#include "cumin_admission/suspect_codec.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr char kOutcomeField[] = "Cumin-Outcome";
constexpr char kDetailField[] = "Cumin-Detail";
constexpr char kSuspicionField[] = "Cumin-Suspicion";
constexpr int kKinds = 4;
constexpr int kOutcomeStatus = 200;
/** Far beyond the time budget of any call. */
constexpr Duration kMaxDuration = std::chrono::hours(24);

Error MalformedField(const char* field) {
  return Error{ErrorCode::kProtocol, "peer", 0, field, "is malformed"};
}

void WriteSuspicion(const std::optional<SuspectRecord>& suspicion,
                    HttpHeaders& headers) {
  // The field of a caller must not pass for one of a daemon.
  headers.Remove(kSuspicionField);
  if (suspicion) {
    headers.Set(kSuspicionField, ToJsonText(EncodeSuspects({*suspicion})));
  }
}

/** Reads and removes the field; one that cannot be read counts as absent, since
    a call does not depend on it. */
std::optional<SuspectRecord> TakeSuspicion(HttpHeaders& headers) {
  const std::string text = headers.Get(kSuspicionField);
  headers.Remove(kSuspicionField);
  if (text.empty()) {
    return std::nullopt;
  }
  const Result<std::vector<SuspectRecord>> records =
      ParseSuspects(text, kSuspicionField);
  if (!records || records.value().size() != 1) {
    return std::nullopt;
  }
  return records.value().front();
}

bool IsInRange(Duration::rep microseconds) {
  return microseconds >= -kMaxDuration.count() &&
         microseconds <= kMaxDuration.count();
}

Duration Remaining(MonoTime until, MonoTime now) {
  return std::chrono::duration_cast<Duration>(until - now);
}

}  // namespace

HttpRequest EncodeHop(const MeshCall& call, MonoTime now) {
  HttpRequest request = call.request.WithoutBody();
  std::ostringstream hop;
  hop << call.attempt << ' ' << call.service << ' ' << call.caller << ' '
      << call.route << ' ' << static_cast<int>(call.kind) << ' '
      << call.priority << ' ' << Remaining(call.deadline, now).count() << ' '
      << Remaining(call.wanted_by, now).count();
  request.headers.Set(kHopField, hop.str());
  WriteSuspicion(call.suspicion, request.headers);
  return request;
}

Result<MeshCall> DecodeHop(HttpRequest request, MonoTime now) {
  MeshCall call;
  std::istringstream hop(request.headers.Get(kHopField));
  std::string service;
  std::string caller;
  int kind = 0;
  Duration::rep deadline_us = 0;
  Duration::rep wanted_by_us = 0;
  hop >> call.attempt >> service >> caller >> call.route >> kind >>
      call.priority >> deadline_us >> wanted_by_us;
  const bool is_timely = IsInRange(deadline_us) && IsInRange(wanted_by_us);
  if (!hop || kind < 0 || kind >= kKinds || !is_timely) {
    return MalformedField(kHopField);
  }
  call.service = ServiceId(service);
  call.caller = ServiceId(caller);
  call.kind = static_cast<RouteKind>(kind);
  call.deadline = now + Duration(deadline_us);
  call.wanted_by = now + Duration(wanted_by_us);
  request.headers.Remove(kHopField);
  call.suspicion = TakeSuspicion(request.headers);
  request.headers.RemoveHopByHop();
  call.request = std::move(request);
  return call;
}

HttpResponse EncodeOutcome(CallOutcome outcome) {
  HttpResponse response = std::move(outcome.response);
  std::ostringstream text;
  text << ToString(outcome.verdict) << ' ' << ToString(outcome.refusal.reason)
       << ' ' << (outcome.reached_target ? 1 : 0) << ' '
       << outcome.refusal.retry_after.count() << ' '
       << (outcome.has_load ? 1 : 0) << ' ' << outcome.load.in_flight << ' '
       << outcome.load.queued << ' ' << outcome.load.usable_slots << ' '
       << (outcome.load.leaving ? 1 : 0) << ' '
       << outcome.load.mean_time.count() << ' '
       << outcome.load.link_wait.count();
  if (outcome.load.inbound_percent > 0) {
    text << ' ' << outcome.load.inbound_percent;
  }
  if (outcome.verdict != Verdict::kRan) {
    response = HttpResponse{};
    response.status = kOutcomeStatus;
    response.headers.Set(kDetailField, outcome.refusal.detail);
  }
  response.headers.Set(kOutcomeField, text.str());
  WriteSuspicion(outcome.suspicion, response.headers);
  return response;
}

Result<CallOutcome> DecodeOutcome(HttpResponse response) {
  CallOutcome outcome;
  std::istringstream text(response.headers.Get(kOutcomeField));
  std::string verdict;
  std::string reason;
  int reached_target = 0;
  int has_load = 0;
  int leaving = 0;
  Duration::rep retry_after_us = 0;
  Duration::rep mean_time_us = 0;
  Duration::rep link_wait_us = 0;
  text >> verdict >> reason >> reached_target >> retry_after_us >> has_load >>
      outcome.load.in_flight >> outcome.load.queued >>
      outcome.load.usable_slots >> leaving >> mean_time_us >> link_wait_us;
  const bool is_complete = !text.fail();
  // Absent while the link carries next to nothing.
  if (!(text >> outcome.load.inbound_percent)) {
    outcome.load.inbound_percent = 0;
  }
  const bool are_in_range = IsInRange(retry_after_us) &&
                            IsInRange(mean_time_us) && IsInRange(link_wait_us);
  if (!is_complete || !are_in_range ||
      !ParseVerdict(verdict, &outcome.verdict)) {
    return MalformedField(kOutcomeField);
  }
  outcome.refusal.verdict = outcome.verdict;
  outcome.refusal.reason = ParseRefusalReason(reason);
  outcome.refusal.detail = response.headers.Get(kDetailField);
  outcome.refusal.retry_after = Duration(retry_after_us);
  outcome.reached_target = reached_target != 0;
  outcome.has_load = has_load != 0;
  outcome.load.leaving = leaving != 0;
  outcome.load.mean_time = Duration(mean_time_us);
  outcome.load.link_wait = Duration(link_wait_us);
  outcome.suspicion = TakeSuspicion(response.headers);
  if (outcome.verdict == Verdict::kRan) {
    response.headers.Remove(kOutcomeField);
    response.headers.RemoveHopByHop();
    outcome.response = std::move(response);
  }
  return outcome;
}

}  // namespace cumin
