#include "cumin_admission/key_check.h"

#include <strings.h>

#include <algorithm>

namespace cumin {

namespace {

/** Longer keys are rejected without being looked up. */
constexpr std::size_t kMaxKeyBytes = 1024;
/** Number of route priorities that are told apart within one customer
    priority. */
constexpr int kRoutePriorities = 64;
constexpr int kMaxCustomerPriority = 1 << 20;

/** @returns the key in the credentials, or "" when they are of another scheme
    or too long */
std::string KeyOf(const std::string& credentials, const std::string& scheme) {
  const std::size_t end = credentials.find(' ');
  if (end != scheme.size() ||
      strncasecmp(credentials.c_str(), scheme.c_str(), end) != 0 ||
      credentials.size() - end > kMaxKeyBytes) {
    return "";
  }
  const std::size_t begin = credentials.find_first_not_of(' ', end);
  return begin == std::string::npos ? "" : credentials.substr(begin);
}

}  // namespace

const char* ToString(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kNotNeeded:
      return "not-needed";
    case KeyVerdict::kAccepted:
      return "accepted";
    case KeyVerdict::kRejected:
      return "rejected";
    case KeyVerdict::kUndated:
      return "undated";
  }
  return "unknown";
}

KeyDecision CheckKey(const RouteTable& routes, const Route& route,
                     const std::vector<std::string>& credentials,
                     const std::string& scheme, bool is_current) {
  KeyDecision decision;
  if (routes.customers().empty()) {
    return decision;
  }
  const std::string key =
      credentials.size() == 1 ? KeyOf(credentials.front(), scheme) : "";
  if (!key.empty() && is_current) {
    decision.customer = routes.FindCustomer(KeyDigest::Of(key));
  }
  if (route.is_public) {
    return decision;
  }
  if (!key.empty() && !is_current) {
    decision.verdict = KeyVerdict::kUndated;
  } else {
    decision.verdict = decision.customer == nullptr ? KeyVerdict::kRejected
                                                    : KeyVerdict::kAccepted;
  }
  return decision;
}

int CombinePriorities(const Customer* customer, const Route& route) {
  if (customer == nullptr) {
    return route.priority;
  }
  return std::min(customer->priority, kMaxCustomerPriority) * kRoutePriorities +
         std::min(route.priority, kRoutePriorities - 1);
}

}  // namespace cumin
