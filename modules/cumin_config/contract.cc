#include "cumin_config/contract.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cumin_core/yaml_object.h"

namespace cumin {

namespace {

constexpr double kMinRatePerS = 0.01;
constexpr double kMaxRatePerS = 1000000;
constexpr int kMaxBurst = 1000000;
constexpr int kMaxConcurrency = 10000;
constexpr int kMaxQueue = 100000;
constexpr int kMaxShare = 100;
constexpr int kMaxDeadlineMs = 600000;
constexpr int kMaxRetries = 5;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{16} * 1024 * 1024;

Grant ParseGrant(YamlObject& fields) {
  const Grant defaults;
  Grant grant;
  grant.service = ServiceId(fields.RequiredName("service"));
  grant.operation = OperationId(fields.RequiredName("operation"));
  grant.deadline = std::chrono::milliseconds(fields.Int(
      "deadline_ms", ToMillis(defaults.deadline), 1, kMaxDeadlineMs));
  grant.retries =
      static_cast<int>(fields.Int("retries", defaults.retries, 0, kMaxRetries));
  grant.max_body_bytes =
      fields.Int("max_body_bytes", defaults.max_body_bytes, 0, kMaxBodyBytes);
  return grant;
}

}  // namespace

const Grant* Contract::FindGrant(const ServiceId& service,
                                 const OperationId& operation) const {
  const auto it =
      std::find_if(grants.begin(), grants.end(), [&](const Grant& each) {
        return each.service == service && each.operation == operation;
      });
  return it == grants.end() ? nullptr : &*it;
}

Result<Contract> ParseContract(const std::string& text,
                               const std::string& source) {
  const Contract defaults;
  YamlObject root = YamlObject::Parse(text, source);
  Contract contract;
  contract.customer = CustomerId(root.RequiredName("customer"));
  contract.share =
      static_cast<int>(root.Int("share", defaults.share, 1, kMaxShare));
  contract.rate_per_s = root.Number("rate_per_s", defaults.rate_per_s,
                                    kMinRatePerS, kMaxRatePerS);
  contract.burst =
      static_cast<int>(root.Int("burst", defaults.burst, 1, kMaxBurst));
  contract.concurrency = static_cast<int>(
      root.Int("concurrency", defaults.concurrency, 1, kMaxConcurrency));
  contract.queue =
      static_cast<int>(root.Int("queue", defaults.queue, 0, kMaxQueue));
  std::set<std::pair<ServiceId, OperationId>> granted;
  for (YamlObject& it : root.Objects("grants")) {
    Grant grant = ParseGrant(it);
    if (!granted.insert({grant.service, grant.operation}).second) {
      it.Fail("operation", "is granted twice");
    }
    root.Absorb(it);
    contract.grants.push_back(std::move(grant));
  }
  const Result<void> checked = root.Finish();
  if (!checked) {
    return checked.error();
  }
  return contract;
}

}  // namespace cumin
