#include "cumin_config/config_history.h"

namespace cumin {

namespace {

constexpr std::size_t kMaxHistory = 10000;
constexpr std::size_t kMaxNamedParts = 5;

std::string DescribeParts(const std::vector<PartName>& parts) {
  if (parts.empty()) {
    return "nothing";
  }
  std::string text;
  for (std::size_t i = 0; i < parts.size() && i < kMaxNamedParts; ++i) {
    text += (i == 0 ? "" : ", ") + parts[i].str();
  }
  if (parts.size() > kMaxNamedParts) {
    text += " and " + std::to_string(parts.size() - kMaxNamedParts) + " more";
  }
  return text;
}

}  // namespace

std::string Describe(const ConfigVersionRecord& record) {
  return "version " + std::to_string(record.version) + " (change " +
         record.change_id.str() + ", by " + record.author + ", accepted " +
         ToUtcText(record.accepted_at) + ", \"" + record.note + "\") changed " +
         DescribeParts(record.changed_parts) + ".";
}

std::string DescribeHistory(const std::vector<ConfigVersionRecord>& history) {
  if (history.empty()) {
    return "No configuration has been accepted yet.\n";
  }
  std::string text;
  for (const ConfigVersionRecord& it : history) {
    text += Describe(it) + "\n";
  }
  return text;
}

Json::Value ToJson(const std::vector<ConfigVersionRecord>& history) {
  Json::Value list(Json::arrayValue);
  for (const ConfigVersionRecord& it : history) {
    list.append(ToJson(it));
  }
  return list;
}

std::vector<ConfigVersionRecord> ReadHistory(JsonObject& fields,
                                             const std::string& field) {
  std::vector<ConfigVersionRecord> history;
  for (JsonObject& it : fields.Objects(field, kMaxHistory)) {
    history.push_back(ReadConfigVersionRecord(it));
  }
  return history;
}

const ConfigVersionRecord* FindVersionAt(
    const std::vector<ConfigVersionRecord>& history, const WallTimeSpan& at) {
  const ConfigVersionRecord* found = nullptr;
  for (const ConfigVersionRecord& it : history) {
    const bool newer = found == nullptr || it.version > found->version;
    if (it.accepted_at < at.end && newer) {
      found = &it;
    }
  }
  return found;
}

}  // namespace cumin
