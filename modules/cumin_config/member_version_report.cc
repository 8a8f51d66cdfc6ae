#include "cumin_config/member_version_report.h"

#include <limits>

namespace cumin {

namespace {

constexpr std::size_t kMaxAddressBytes = 64;

}  // namespace

Json::Value ToJson(const MemberVersionReport& report) {
  Json::Value value(Json::objectValue);
  value["vm"] = report.vm.str();
  value["address"] = report.endpoint.address;
  value["port"] = report.endpoint.port;
  value["region"] = report.region.str();
  value["failure_domain"] = report.failure_domain.str();
  value["version"] = report.version;
  value["in_force_since_ms"] = ToUnixMillis(report.in_force_since);
  value["last_heard_ms"] = ToUnixMillis(report.last_heard);
  value["reachable"] = report.reachable;
  value["known_daemons"] = report.known_daemons;
  return value;
}

MemberVersionReport ReadMemberVersionReport(JsonObject& fields) {
  MemberVersionReport report;
  report.vm = fields.Name<VmId>("vm");
  report.endpoint.address = fields.String("address", kMaxAddressBytes);
  const std::uint64_t port = fields.Unsigned("port");
  if (port > std::numeric_limits<std::uint16_t>::max()) {
    fields.Fail("port", "must be at most 65535");
  }
  report.endpoint.port = static_cast<std::uint16_t>(port);
  report.region = fields.Name<RegionId>("region");
  report.failure_domain = fields.Name<FailureDomainId>("failure_domain");
  report.version = fields.Unsigned("version");
  report.in_force_since = FromUnixMillis(fields.Int("in_force_since_ms"));
  report.last_heard = FromUnixMillis(fields.Int("last_heard_ms"));
  report.reachable = fields.Bool("reachable");
  if (fields.Has("known_daemons")) {
    report.known_daemons = fields.Unsigned("known_daemons");
  }
  return report;
}

}  // namespace cumin
