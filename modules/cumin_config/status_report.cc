#include "cumin_config/status_report.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr std::size_t kMaxMembers = 20000;

bool HasConfirmed(const MemberVersionReport& member, std::uint64_t version) {
  return member.reachable && member.version >= version;
}

}  // namespace

std::uint64_t NewestVersion(const StatusReport& report) {
  std::uint64_t newest = 0;
  for (const ConfigVersionRecord& it : report.history) {
    newest = std::max(newest, it.version);
  }
  for (const MemberVersionReport& it : report.members) {
    newest = std::max(newest, it.version);
  }
  return newest;
}

const ConfigVersionRecord* FindRecord(
    const std::vector<ConfigVersionRecord>& history, std::uint64_t version) {
  const auto it = std::find_if(
      history.begin(), history.end(),
      [&](const ConfigVersionRecord& each) { return each.version == version; });
  return it == history.end() ? nullptr : &*it;
}

std::vector<MemberVersionReport> UnconfirmedMembers(
    const StatusReport& report) {
  const std::uint64_t newest = NewestVersion(report);
  std::vector<MemberVersionReport> members;
  for (const MemberVersionReport& it : report.members) {
    if (!HasConfirmed(it, newest)) {
      members.push_back(it);
    }
  }
  return members;
}

const MemberVersionReport* FindMemberKnowingMore(const StatusReport& report) {
  const auto it = std::max_element(
      report.members.begin(), report.members.end(),
      [](const MemberVersionReport& a, const MemberVersionReport& b) {
        return a.known_daemons < b.known_daemons;
      });
  if (it == report.members.end() ||
      it->known_daemons <= report.members.size()) {
    return nullptr;
  }
  return &*it;
}

bool IsEverywhereInForce(const StatusReport& report) {
  return NewestVersion(report) > 0 && report.store_answered &&
         !report.members.empty() && UnconfirmedMembers(report).empty() &&
         FindMemberKnowingMore(report) == nullptr;
}

Json::Value ToJson(const StatusReport& report) {
  Json::Value value(Json::objectValue);
  value["made_at_ms"] = ToUnixMillis(report.made_at);
  value["made_by"] = report.made_by.str();
  value["store_answered"] = report.store_answered;
  value["history"] = ToJson(report.history);
  Json::Value& members = value["members"] = Json::Value(Json::arrayValue);
  for (const MemberVersionReport& it : report.members) {
    members.append(ToJson(it));
  }
  value["newest_version"] = NewestVersion(report);
  value["everywhere_in_force"] = IsEverywhereInForce(report);
  Json::Value& missing = value["unconfirmed"] = Json::Value(Json::arrayValue);
  for (const MemberVersionReport& it : UnconfirmedMembers(report)) {
    missing.append(it.vm.str());
  }
  return value;
}

StatusReport ReadStatusReport(JsonObject& fields) {
  StatusReport report;
  report.made_at = FromUnixMillis(fields.Int("made_at_ms"));
  report.made_by = fields.Name<VmId>("made_by");
  report.store_answered = fields.Bool("store_answered");
  report.history = ReadHistory(fields, "history");
  for (JsonObject& it : fields.Objects("members", kMaxMembers)) {
    report.members.push_back(ReadMemberVersionReport(it));
  }
  return report;
}

}  // namespace cumin
