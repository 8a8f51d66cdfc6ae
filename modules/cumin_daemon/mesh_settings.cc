#include "cumin_daemon/mesh_settings.h"

#include <fstream>
#include <iterator>

#include "cumin_core/yaml_object.h"

namespace cumin {

namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kMaxLinkMbps = 1e6;
constexpr double kMaxRetrySlack = 1e6;
constexpr double kMaxMemoryMb = 1e6;
constexpr std::int64_t kMaxFds = 1 << 20;

Endpoint ReadEndpoint(YamlObject& root, const std::string& field) {
  const Result<Endpoint> endpoint = ParseEndpoint(root.RequiredString(field));
  if (!endpoint) {
    root.Fail(field, endpoint.error().reason);
    return Endpoint{};
  }
  return endpoint.value();
}

Duration ReadSeconds(YamlObject& root, const std::string& field,
                     Duration fallback) {
  const std::chrono::duration<double> seconds(root.Number(
      field, std::chrono::duration<double>(fallback).count(), 0, kMaxSeconds));
  return std::chrono::duration_cast<Duration>(seconds);
}

}  // namespace

Result<MeshSettings> ParseMeshSettings(const std::string& text,
                                       const std::string& source) {
  YamlObject root = YamlObject::Parse(text, source);
  MeshSettings settings;
  settings.vm = VmId(root.RequiredName("vm"));
  settings.region = RegionId(root.RequiredName("region"));
  settings.failure_domain =
      FailureDomainId(root.RequiredName("failure_domain"));
  settings.callers = ReadEndpoint(root, "callers");
  settings.peers = ReadEndpoint(root, "peers");
  settings.readiness = ReadEndpoint(root, "readiness");
  settings.announcements = ReadEndpoint(root, "announcements");
  settings.target = ReadEndpoint(root, "target");
  settings.service = ServiceId(root.RequiredName("service"));
  settings.store = ReadEndpoint(root, "store");
  settings.announce_interval =
      ReadSeconds(root, "announce_interval_s", settings.announce_interval);
  settings.leave_limit =
      ReadSeconds(root, "leave_limit_s", settings.leave_limit);
  settings.grace = ReadSeconds(root, "grace_s", settings.grace);
  settings.retry_ratio = root.Number("retry_ratio", settings.retry_ratio, 0, 1);
  settings.retry_slack =
      root.Number("retry_slack", settings.retry_slack, 0, kMaxRetrySlack);
  settings.link_mbps =
      root.Number("link_mbps", settings.link_mbps, 0, kMaxLinkMbps);
  settings.memory_mb =
      root.Number("memory_mb", settings.memory_mb, 0, kMaxMemoryMb);
  settings.max_fds =
      static_cast<int>(root.Int("max_fds", settings.max_fds, 0, kMaxFds));
  settings.key_withdrawal_limit = ReadSeconds(root, "key_withdrawal_limit_s",
                                              settings.key_withdrawal_limit);
  AllotmentTolerance& tolerance = settings.allotment_tolerance;
  tolerance.window = ReadSeconds(root, "allotment_window_s", tolerance.window);
  tolerance.part = root.Number("allotment_over", tolerance.part, 0, 1);
  tolerance.slack =
      root.Number("allotment_slack", tolerance.slack, 0, kMaxRetrySlack);
  settings.is_first_start = root.Bool("first_start", settings.is_first_start);
  settings.rollouts = root.Bool("rollouts", settings.rollouts);
  const Result<void> checked = root.Finish();
  if (!checked) {
    return checked.error();
  }
  return settings;
}

Result<MeshSettings> LoadMeshSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorCode::kNotFound, path, 0, "",
                 "settings file cannot be opened"};
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseMeshSettings(text, path);
}

}  // namespace cumin
