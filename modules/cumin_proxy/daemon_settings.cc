#include "cumin_proxy/daemon_settings.h"

#include <fstream>
#include <sstream>

#include "cumin_core/yaml_object.h"

namespace cumin {

namespace {

constexpr int kMaxWorkers = 1024;
constexpr int kMinAnnounceTimeoutMs = 100;
constexpr int kMaxAnnounceTimeoutMs = 60000;
constexpr int kMinLedgerLeaseMs = 1000;
constexpr int kMaxLedgerLeaseMs = 600000;
constexpr int kMaxDrainLimitMs = 600000;
constexpr int kMaxLeaveNoticeMs = 2500;

Endpoint ReadEndpoint(YamlObject& fields, const std::string& field) {
  const std::string text = fields.RequiredString(field);
  if (text.empty()) {
    return Endpoint{};
  }
  const std::string suffix = ":0";
  const bool any_port =
      text.size() > suffix.size() &&
      text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
  const Result<Endpoint> parsed =
      ParseEndpoint(any_port ? text.substr(0, text.size() - 1) + "1" : text);
  if (!parsed) {
    fields.Fail(field, parsed.error().reason);
    return Endpoint{};
  }
  return Endpoint{parsed.value().address,
                  any_port ? std::uint16_t{0} : parsed.value().port};
}

std::vector<Endpoint> ReadSeeds(YamlObject& fields) {
  std::vector<Endpoint> seeds;
  for (const std::string& it : fields.Strings("seeds")) {
    const Result<Endpoint> seed = ParseEndpoint(it);
    if (!seed) {
      fields.Fail("seeds", seed.error().reason);
      return seeds;
    }
    seeds.push_back(seed.value());
  }
  return seeds;
}

Duration ReadMillis(YamlObject& fields, const std::string& field,
                    Duration fallback, std::int64_t min, std::int64_t max) {
  return std::chrono::milliseconds(
      fields.Int(field, ToMillis(fallback), min, max));
}

}  // namespace

Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                           const std::string& source) {
  YamlObject root = YamlObject::Parse(text, source);
  DaemonSettings settings;
  settings.vm = VmId(root.RequiredName("vm"));
  settings.region = RegionId(root.RequiredName("region"));
  settings.failure_domain =
      FailureDomainId(root.RequiredName("failure_domain"));
  settings.listen = ReadEndpoint(root, "listen");
  settings.store = ReadEndpoint(root, "store");
  settings.seeds = ReadSeeds(root);
  settings.store_region = RegionId(root.String("store_region", ""));
  settings.spread =
      root.Choice("spread", {"tree", "watch-all"}, "tree") == "watch-all"
          ? SpreadMode::kWatchAll
          : SpreadMode::kTree;
  settings.workers =
      static_cast<int>(root.Int("workers", settings.workers, 1, kMaxWorkers));
  settings.log_level = root.Choice(
      "log_level", {"debug", "info", "warning", "error"}, settings.log_level);
  settings.trace_file = root.String("trace_file", "");
  settings.announce_timeout =
      ReadMillis(root, "announce_timeout_ms", settings.announce_timeout,
                 kMinAnnounceTimeoutMs, kMaxAnnounceTimeoutMs);
  settings.ledger_lease =
      ReadMillis(root, "ledger_lease_ms", settings.ledger_lease,
                 kMinLedgerLeaseMs, kMaxLedgerLeaseMs);
  settings.drain_limit = ReadMillis(root, "drain_limit_ms",
                                    settings.drain_limit, 0, kMaxDrainLimitMs);
  settings.leave_notice = ReadMillis(
      root, "leave_notice_ms", settings.leave_notice, 0, kMaxLeaveNoticeMs);
  const Result<void> checked = root.Finish();
  if (!checked) {
    return checked.error();
  }
  return settings;
}

Result<DaemonSettings> LoadDaemonSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorCode::kNotFound, path, 0, "", "cannot read the file"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseDaemonSettings(text.str(), path);
}

}  // namespace cumin
