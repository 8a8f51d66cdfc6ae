#include "cuminctl/status_command.h"

#include <algorithm>
#include <vector>

#include "cumin_config/status_report.h"

namespace cumin {

namespace {

/** Number of versions read from the store to resolve --at. */
constexpr std::uint64_t kAtHistoryLimit = 100;

/** Adds the records missing from the report and sorts it newest first. */
void AddHistory(const std::vector<ConfigVersionRecord>& records,
                StatusReport& report) {
  for (const ConfigVersionRecord& it : records) {
    if (FindRecord(report.history, it.version) == nullptr) {
      report.history.push_back(it);
    }
  }
  std::sort(report.history.begin(), report.history.end(),
            [](const ConfigVersionRecord& a, const ConfigVersionRecord& b) {
              return a.version > b.version;
            });
}

Json::Value VersionAtToJson(const StatusReport& report,
                            const WallTimeSpan& at) {
  Json::Value value(Json::objectValue);
  value["begin_ms"] = ToUnixMillis(at.begin);
  value["end_ms"] = ToUnixMillis(at.end);
  const ConfigVersionRecord* found = FindVersionAt(report.history, at);
  value["change"] = found == nullptr ? Json::Value() : ToJson(*found);
  return value;
}

}  // namespace

ExitCode RunStatus(DaemonClient& client, ConfigSource* store,
                   const std::string& at, WallTime now, const Output& output) {
  Result<WallTimeSpan> span = WallTimeSpan();
  if (!at.empty()) {
    span = ParseWallTime(at, now);
    if (!span) {
      return output.Fail(span.error());
    }
  }
  Result<StatusReport> gathered = client.GatherStatus();
  if (!gathered) {
    return output.Fail(gathered.error());
  }
  StatusReport& report = gathered.value();
  if (store != nullptr) {
    const auto history = store->ReadHistory(at.empty() ? 1 : kAtHistoryLimit);
    if (history) {
      report.store_answered = true;
      AddHistory(history.value(), report);
    }
  }
  std::string text = Describe(report);
  Json::Value value = ToJson(report);
  if (!at.empty()) {
    text.insert(0, DescribeAt(report.history, span.value()));
    value["at"] = VersionAtToJson(report, span.value());
  }
  output.Write(text, value);
  return IsEverywhereInForce(report) ? kExitOk : kExitNotEverywhere;
}

}  // namespace cumin
