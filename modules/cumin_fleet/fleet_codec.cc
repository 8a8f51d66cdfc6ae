#include "cumin_fleet/fleet_codec.h"

#include <algorithm>
#include <string>

namespace cumin {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxDigestBytes = 64;
constexpr std::size_t kMaxMembers = 8192;
constexpr int kStates = 4;
constexpr int kTargetStates = 3;
/** Longer than any outage that the receiver distinguishes. */
constexpr std::int64_t kMaxStoreQuietMs = 86400000;

Endpoint ReadEndpoint(JsonObject& fields, const std::string& field) {
  const Result<Endpoint> endpoint =
      ParseEndpoint(fields.String(field, kMaxNameBytes));
  if (!endpoint) {
    fields.Fail(field, endpoint.error().reason);
    return Endpoint{};
  }
  return endpoint.value();
}

/** Reads an enumerator, which is encoded as its numeric value. */
template <typename Enum>
Enum ReadEnum(JsonObject& fields, const std::string& field, int count) {
  const std::uint64_t number = fields.Unsigned(field);
  if (number >= static_cast<std::uint64_t>(count)) {
    fields.Fail(field, "must be below " + std::to_string(count));
    return Enum{};
  }
  return static_cast<Enum>(number);
}

Json::Value ToJson(const AnnouncedTarget& target) {
  Json::Value value;
  value["n"] = target.service.str();
  value["e"] = ToString(target.endpoint);
  value["c"] = target.slots;
  value["s"] = static_cast<int>(target.state);
  if (!target.version.empty()) {
    value["v"] = target.version;
  }
  return value;
}

AnnouncedTarget ReadTarget(JsonObject fields) {
  AnnouncedTarget target;
  target.service = fields.Name<ServiceId>("n", kMaxNameBytes);
  target.endpoint = ReadEndpoint(fields, "e");
  const std::int64_t slots = fields.Int("c");
  if (slots < 0 || slots > kMaxTargetSlots) {
    fields.Fail("c", "must be from 0 to 100000");
  } else {
    target.slots = static_cast<int>(slots);
  }
  target.state = ReadEnum<TargetState>(fields, "s", kTargetStates);
  if (fields.Has("v")) {
    target.version = fields.String("v", kMaxNameBytes);
  }
  return target;
}

Json::Value ToJson(const Withdrawal& withdrawal) {
  Json::Value value;
  value["i"] = Json::UInt64{withdrawal.instance};
  value["b"] = Json::Int64{ToUnixMillis(withdrawal.started_through)};
  return value;
}

Withdrawal ReadWithdrawal(JsonObject fields) {
  Withdrawal withdrawal;
  withdrawal.instance = fields.Unsigned("i");
  withdrawal.started_through = FromUnixMillis(fields.Int("b"));
  return withdrawal;
}

}  // namespace

Json::Value ToJson(const Member& member) {
  Json::Value value;
  value["v"] = member.vm.str();
  value["e"] = ToString(member.endpoint);
  value["r"] = member.region.str();
  value["d"] = member.failure_domain.str();
  value["i"] = Json::UInt64{member.incarnation};
  if (member.state != MemberState::kAlive) {
    value["s"] = static_cast<int>(member.state);
  }
  if (member.target) {
    value["t"] = ToJson(*member.target);
  }
  if (member.withdrawal) {
    value["w"] = ToJson(*member.withdrawal);
  }
  return value;
}

Member ReadMember(JsonObject& fields) {
  Member member;
  member.vm = fields.Name<VmId>("v", kMaxNameBytes);
  member.endpoint = ReadEndpoint(fields, "e");
  member.region = fields.Name<RegionId>("r", kMaxNameBytes);
  member.failure_domain = fields.Name<FailureDomainId>("d", kMaxNameBytes);
  member.incarnation = fields.Unsigned("i");
  if (fields.Has("s")) {
    member.state = ReadEnum<MemberState>(fields, "s", kStates);
  }
  if (fields.Has("t")) {
    member.target = ReadTarget(fields.Object("t"));
  }
  if (fields.Has("w")) {
    member.withdrawal = ReadWithdrawal(fields.Object("w"));
  }
  return member;
}

Json::Value ToJson(const std::vector<Member>& members) {
  Json::Value list(Json::arrayValue);
  for (const Member& it : members) {
    list.append(ToJson(it));
  }
  return list;
}

std::vector<Member> ReadMembers(JsonObject& fields, const std::string& field) {
  std::vector<Member> members;
  for (JsonObject& it : fields.Objects(field, kMaxMembers)) {
    members.push_back(ReadMember(it));
  }
  return members;
}

Json::Value ToJson(const GossipMessage& message) {
  Json::Value value;
  value["f"] = message.from.str();
  value["i"] = Json::UInt64{message.from_incarnation};
  value["k"] = Json::UInt64{message.known_incarnation};
  value["c"] = Json::UInt64{message.in_force.version};
  value["h"] = message.in_force.digest;
  value["p"] = Json::UInt64{message.known_version};
  value["q"] = Json::Int64{ToMillis(message.store_quiet)};
  value["m"] = Json::UInt64{message.table_digest};
  if (message.quarantine_digest != 0) {
    value["x"] = Json::UInt64{message.quarantine_digest};
  }
  if (!message.updates.empty()) {
    value["u"] = ToJson(message.updates);
  }
  return value;
}

Result<GossipMessage> ParseGossip(const Json::Value& value) {
  JsonObject fields(value, "peer");
  GossipMessage message;
  message.from = fields.Name<VmId>("f", kMaxNameBytes);
  message.from_incarnation = fields.Unsigned("i");
  message.known_incarnation = fields.Unsigned("k");
  message.in_force.version = fields.Unsigned("c");
  message.in_force.digest = fields.String("h", kMaxDigestBytes);
  message.known_version = fields.Unsigned("p");
  const std::int64_t quiet_ms = fields.Int("q");
  if (quiet_ms < 0) {
    fields.Fail("q", "must not be negative");
  }
  message.store_quiet = std::chrono::milliseconds(
      std::clamp<std::int64_t>(quiet_ms, 0, kMaxStoreQuietMs));
  message.table_digest = fields.Unsigned("m");
  if (fields.Has("x")) {
    message.quarantine_digest = fields.Unsigned("x");
  }
  if (fields.Has("u")) {
    message.updates = ReadMembers(fields, "u");
  }
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return message;
}

}  // namespace cumin
