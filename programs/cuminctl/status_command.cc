#include "cuminctl/status_command.h"

#include <algorithm>
#include <vector>

#include "cumin_config/status_report.h"

namespace cumin {

namespace {

/** How far back a note may reach when the store answers. */
constexpr std::uint64_t kNoteHistory = 100;

/** Adds the records that the report lacks, and puts the newest first. */
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

Json::Value AtJson(const StatusReport& report, const WallTimeSpan& at) {
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
    const auto history = store->ReadHistory(at.empty() ? 1 : kNoteHistory);
    if (history) {
      report.store_answered = true;
      AddHistory(history.value(), report);
    }
  }
  std::string text = Describe(report);
  Json::Value value = ToJson(report);
  if (!at.empty()) {
    text.insert(0, DescribeAt(report.history, span.value()));
    value["at"] = AtJson(report, span.value());
  }
  output.Write(text, value);
  return IsEverywhereInForce(report) ? kExitOk : kExitNotEverywhere;
}

}  // namespace cumin
