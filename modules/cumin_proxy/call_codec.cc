#include "cumin_proxy/call_codec.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>

#include "cumin_core/json_text.h"
#include "cumin_core/tracing.h"
#include "cumin_proxy/call_headers.h"
#include "cumin_routing/answer_check.h"
#include "cumin_routing/call_deadline.h"

namespace cumin {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusTooMany = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
constexpr std::size_t kMaxNumberDigits = 18;

Error BadHeader(const std::string& name, const std::string& reason) {
  return Error{ErrorCode::kInvalid, "call between daemons", 0, name, reason};
}

std::string EncodeLoad(const TargetLoad& load) {
  Json::Value out;
  out["f"] = load.in_flight;
  out["q"] = load.queued;
  out["s"] = load.usable_slots;
  out["l"] = load.leaving;
  return ToJsonText(out);
}

std::optional<TargetLoad> DecodeLoad(const std::string& text) {
  const Result<Json::Value> parsed = ParseJson(text, kLoadHeader);
  if (!parsed || !parsed.value().isObject()) {
    return std::nullopt;
  }
  const Json::Value& in = parsed.value();
  if (!in["f"].isInt() || !in["q"].isInt() || !in["s"].isInt() ||
      !in["l"].isBool()) {
    return std::nullopt;
  }
  return TargetLoad{in["f"].asInt(), in["q"].asInt(), in["s"].asInt(),
                    in["l"].asBool()};
}

int NotRunStatus(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBadRequest:
    case RefusalReason::kKeyRequired:
      return kStatusBadRequest;
    case RefusalReason::kNotGranted:
    case RefusalReason::kUnknownCustomer:
      return kStatusForbidden;
    case RefusalReason::kUnknownRoute:
      return kStatusNotFound;
    case RefusalReason::kBodyTooLarge:
      return kStatusTooLarge;
    case RefusalReason::kRateLimited:
    case RefusalReason::kConcurrencyLimited:
    case RefusalReason::kQueueFull:
      return kStatusTooMany;
    default:
      return kStatusUnavailable;
  }
}

int StatusOf(const Refusal& refusal) {
  if (refusal.verdict == Verdict::kNotRun) {
    return NotRunStatus(refusal.reason);
  }
  return refusal.reason == RefusalReason::kDeadlineExpired ? kStatusTimeout
                                                           : kStatusBadGateway;
}

HttpResponse EncodeRefusal(const Refusal& refusal) {
  HttpResponse response;
  response.status = StatusOf(refusal);
  response.headers.Set(kVerdictHeader, ToString(refusal.verdict));
  response.headers.Set(kReasonHeader, ToString(refusal.reason));
  response.headers.Set("Content-Type", "application/json");
  if (refusal.retry_after.count() > 0) {
    const auto whole_seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count();
    response.headers.Set(kRetryAfterHeader, std::to_string(whole_seconds));
  }
  Json::Value body;
  body["verdict"] = ToString(refusal.verdict);
  body["reason"] = ToString(refusal.reason);
  body["detail"] = refusal.detail;
  response.body = ToJsonText(body) + "\n";
  return response;
}

Refusal DecodeRefusal(const HttpResponse& response, Verdict verdict) {
  Refusal refusal;
  refusal.verdict = verdict;
  refusal.reason = ParseRefusalReason(response.headers.Get(kReasonHeader));
  const Result<Json::Value> body = ParseJson(response.body, "refusal");
  if (body && body.value().isObject() && body.value()["detail"].isString()) {
    refusal.detail = body.value()["detail"].asString();
  }
  refusal.retry_after = std::chrono::seconds(
      ReadNumber(response.headers, kRetryAfterHeader).value_or(0));
  return refusal;
}

/** A request's path and query in one header. */
std::string JoinPath(const HttpRequest& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

void SplitPath(const std::string& joined, HttpRequest* request) {
  const std::size_t mark = joined.find('?');
  request->path = joined.substr(0, mark);
  request->query = mark == std::string::npos ? "" : joined.substr(mark + 1);
}

}  // namespace

std::optional<std::int64_t> ReadNumber(const HttpHeaders& headers,
                                       const std::string& name) {
  const std::string text = headers.Get(name);
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || text.size() > kMaxNumberDigits ||
      parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

HttpRequest EncodeCall(const Call& call, MonoTime now) {
  HttpRequest out;
  out.method = call.request.method;
  out.path = kCallPath;
  out.headers = call.request.headers;
  out.headers.Set(kTargetPathHeader, JoinPath(call.request));
  out.headers.Set(kAttemptHeader, call.attempt.str());
  out.headers.Set(kIngressHeader, call.ingress.str());
  out.headers.Set(kCustomerHeader, call.customer.str());
  out.headers.Set(kServiceHeader, call.service.str());
  out.headers.Set(kOperationHeader, call.operation.str());
  out.headers.Set(
      kDeadlineHeader,
      std::to_string(CallDeadline(call.deadline).NextHopMillis(now)));
  out.headers.Set(kConfigVersionHeader, std::to_string(call.config_version));
  out.headers.Set(kTraceHeader, call.trace_parent);
  if (call.is_admitted) {
    out.headers.Set(kAdmittedHeader, "1");
  }
  out.body = call.request.body;
  return out;
}

Result<Call> DecodeCall(const HttpRequest& request,
                        const ConfigSnapshot& snapshot, MonoTime now) {
  Call call;
  call.attempt = AttemptId(request.headers.Get(kAttemptHeader));
  if (call.attempt.empty()) {
    return BadHeader(kAttemptHeader, "is required");
  }
  call.ingress = VmId(request.headers.Get(kIngressHeader));
  call.customer = CustomerId(request.headers.Get(kCustomerHeader));
  call.service = ServiceId(request.headers.Get(kServiceHeader));
  call.operation = OperationId(request.headers.Get(kOperationHeader));
  const Service* service = snapshot.mesh().FindService(call.service);
  const Operation* operation =
      service == nullptr ? nullptr : service->FindOperation(call.operation);
  if (operation == nullptr) {
    return BadHeader(kOperationHeader,
                     "the configuration in force has no operation \"" +
                         call.operation.str() + "\" of service \"" +
                         call.service.str() + "\"");
  }
  const auto left = ReadNumber(request.headers, kDeadlineHeader);
  if (!left) {
    return BadHeader(kDeadlineHeader, "must be a number of milliseconds");
  }
  call.deadline = now + std::chrono::milliseconds(*left);
  call.repeatability = operation->repeatability;
  call.work_class = operation->work_class;
  call.key = IdempotencyKey(request.headers.Get(kKeyHeader));
  const auto first_sent = ReadNumber(request.headers, kFirstSentHeader);
  if (first_sent) {
    call.first_sent = FromUnixMillis(*first_sent);
  }
  call.config_version = static_cast<std::uint64_t>(
      ReadNumber(request.headers, kConfigVersionHeader).value_or(0));
  call.trace_parent = request.headers.Get(kTraceHeader);
  call.is_admitted = request.headers.Has(kAdmittedHeader);
  call.request = request;
  SplitPath(request.headers.Get(kTargetPathHeader), &call.request);
  return call;
}

HttpResponse EncodeResult(const CallResult& result, const AttemptId& attempt) {
  HttpResponse out = ToCallerResponse(result);
  out.headers.Set(kAttemptHeader, attempt.str());
  if (!result.shard_owner.empty()) {
    out.headers.Set(kShardOwnerHeader, result.shard_owner.str());
  }
  if (result.load) {
    out.headers.Set(kLoadHeader, EncodeLoad(*result.load));
  }
  return out;
}

CallResult DecodeResult(const HttpResponse& response,
                        const AttemptId& attempt) {
  Exchange exchange;
  exchange.request_id = attempt.str();
  exchange.was_sent = true;
  exchange.has_headers = true;
  exchange.response_request_id = response.headers.Get(kAttemptHeader);
  exchange.declared_bytes = response.body.size();
  exchange.received_bytes = response.body.size();
  const std::optional<Refusal> broken = CheckAnswer(exchange);
  if (broken) {
    return CallResult::Refused(*broken);
  }
  Verdict verdict = Verdict::kMayHaveRun;
  if (!ParseVerdict(response.headers.Get(kVerdictHeader), &verdict)) {
    return CallResult::Refused(Refusal{
        Verdict::kMayHaveRun, RefusalReason::kAnswerIncomplete,
        "the answer of the target's daemon has no verdict", Duration(0)});
  }
  CallResult result;
  result.verdict = verdict;
  result.shard_owner = VmId(response.headers.Get(kShardOwnerHeader));
  result.load = DecodeLoad(response.headers.Get(kLoadHeader));
  if (verdict == Verdict::kRan) {
    result.response = response;
  } else {
    result.refusal = DecodeRefusal(response, verdict);
  }
  return result;
}

HttpResponse ToCallerResponse(const CallResult& result) {
  if (result.verdict != Verdict::kRan) {
    return EncodeRefusal(result.refusal);
  }
  HttpResponse response;
  response.status = result.response.status;
  response.body = result.response.body;
  const std::string type = result.response.headers.Get("Content-Type");
  if (!type.empty()) {
    response.headers.Set("Content-Type", type);
  }
  response.headers.Set(kVerdictHeader, ToString(Verdict::kRan));
  return response;
}

}  // namespace cumin
