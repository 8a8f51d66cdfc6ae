#include "cumin_proxy/call_planner.h"

#include <strings.h>

#include <algorithm>
#include <array>

#include "cumin_core/tracing.h"
#include "cumin_proxy/call_codec.h"
#include "cumin_proxy/call_headers.h"

namespace cumin {

namespace {

/** cxxtools holds 4096 bytes of header fields in a message; the daemons add
    their own to the caller's. */
constexpr std::size_t kMaxHeaderBytes = 2048;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxKeyBytes = 128;

/** Fields that belong to one connection or that a daemon sets itself. */
bool IsPassedOn(const std::string& name) {
  static constexpr std::array<const char*, 14> kDropped = {"Host",
                                                           "Connection",
                                                           "Keep-Alive",
                                                           "Content-Length",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "TE",
                                                           kTraceHeader,
                                                           kAttemptHeader,
                                                           kIngressHeader,
                                                           kServiceHeader,
                                                           kOperationHeader,
                                                           kTargetPathHeader,
                                                           kAdmittedHeader};
  return std::none_of(kDropped.begin(), kDropped.end(), [&](const char* it) {
    return strcasecmp(it, name.c_str()) == 0;
  });
}

HttpHeaders PassedOnHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const HttpHeader& it : headers.all()) {
    if (IsPassedOn(it.name)) {
      kept.Set(it.name, it.value);
    }
  }
  return kept;
}

std::size_t SizeOf(const HttpHeaders& headers) {
  std::size_t n = 0;
  for (const HttpHeader& it : headers.all()) {
    n += it.name.size() + it.value.size() + 2;
  }
  return n;
}

/** @returns why the request's size is refused, or kNone */
Refusal CheckSize(const HttpRequest& request, const Grant& grant) {
  if (SizeOf(request.headers) > kMaxHeaderBytes) {
    return NotRun(RefusalReason::kBadRequest,
                  "the header fields have more than " +
                      std::to_string(kMaxHeaderBytes) + " bytes");
  }
  if (request.path.size() + request.query.size() > kMaxPathBytes) {
    return NotRun(
        RefusalReason::kBadRequest,
        "the path has more than " + std::to_string(kMaxPathBytes) + " bytes");
  }
  if (static_cast<std::int64_t>(request.body.size()) > grant.max_body_bytes) {
    return NotRun(RefusalReason::kBodyTooLarge,
                  "the contract allows a body of " +
                      std::to_string(grant.max_body_bytes) + " bytes");
  }
  return Refusal{};
}

/** Reads the idempotency key and the time of its first use. */
Refusal ReadKey(const HttpRequest& request, Call* call) {
  if (call->repeatability != Repeatability::kAtMostOnce) {
    return Refusal{};
  }
  call->key = IdempotencyKey(request.headers.Get(kKeyHeader));
  if (call->key.empty() || call->key.str().size() > kMaxKeyBytes) {
    return NotRun(RefusalReason::kKeyRequired,
                  std::string("this operation needs the header ") + kKeyHeader +
                      " of 1 to " + std::to_string(kMaxKeyBytes) + " bytes");
  }
  if (!request.headers.Has(kFirstSentHeader)) {
    return Refusal{};
  }
  const auto millis = ReadNumber(request.headers, kFirstSentHeader);
  if (!millis) {
    return NotRun(RefusalReason::kBadRequest,
                  std::string(kFirstSentHeader) +
                      " must be a number of milliseconds since 1970");
  }
  call->first_sent = FromUnixMillis(*millis);
  return Refusal{};
}

/** The caller may ask for less time than the contract gives, not for more. */
Refusal ReadDeadline(const HttpRequest& request, const Grant& grant,
                     MonoTime now, Call* call) {
  Duration limit = grant.deadline;
  if (request.headers.Has(kDeadlineHeader)) {
    const auto millis = ReadNumber(request.headers, kDeadlineHeader);
    if (!millis) {
      return NotRun(
          RefusalReason::kBadRequest,
          std::string(kDeadlineHeader) + " must be a number of milliseconds");
    }
    limit = std::min<Duration>(limit, std::chrono::milliseconds(*millis));
  }
  call->deadline = now + limit;
  return Refusal{};
}

}  // namespace

CallPlan PlanCall(const HttpRequest& request, const ConfigSnapshot& snapshot,
                  MonoTime now) {
  const CustomerId customer(request.headers.Get(kCustomerHeader));
  const Contract* contract = snapshot.FindContract(customer);
  if (contract == nullptr) {
    return NotRun(RefusalReason::kUnknownCustomer,
                  "no contract for the customer in " +
                      std::string(kCustomerHeader) + ": \"" + customer.str() +
                      "\"");
  }
  const RouteMatch route = snapshot.FindRoute(request.method, request.path);
  if (route.operation == nullptr) {
    return NotRun(RefusalReason::kUnknownRoute,
                  "no operation has this method and path");
  }
  const Grant* grant =
      contract->FindGrant(route.service->name, route.operation->name);
  if (grant == nullptr) {
    return NotRun(RefusalReason::kNotGranted,
                  "the contract does not grant " + route.service->name.str() +
                      " " + route.operation->name.str());
  }
  PlannedCall planned;
  planned.grant = *grant;
  Call& call = planned.call;
  call.customer = customer;
  call.service = route.service->name;
  call.operation = route.operation->name;
  call.repeatability = route.operation->repeatability;
  call.work_class = route.operation->work_class;
  call.config_version = snapshot.version();
  for (const Refusal& it : {CheckSize(request, *grant), ReadKey(request, &call),
                            ReadDeadline(request, *grant, now, &call)}) {
    if (it.reason != RefusalReason::kNone) {
      return it;
    }
  }
  call.request = request;
  call.request.headers = PassedOnHeaders(request.headers);
  return planned;
}

}  // namespace cumin
