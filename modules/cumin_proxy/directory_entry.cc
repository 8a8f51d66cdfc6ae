#include "cumin_proxy/directory_entry.h"

#include "cumin_core/json_text.h"
#include "cumin_proxy/target_slot.h"

namespace cumin {

namespace {

const char* StateText(TargetState state) {
  switch (state) {
    case TargetState::kStarting:
      return "starting";
    case TargetState::kReady:
      return "ready";
    case TargetState::kLeaving:
      return "leaving";
  }
  return "starting";
}

Json::Value EncodeTarget(const AnnouncedTarget& target) {
  Json::Value out;
  out["service"] = target.service.str();
  out["address"] = ToString(target.endpoint);
  out["slots"] = target.slots;
  out["state"] = StateText(target.state);
  return out;
}

}  // namespace

std::string EncodeDirectoryEntry(const Member& member) {
  Json::Value out;
  out["vm"] = member.vm.str();
  out["address"] = ToString(member.endpoint);
  out["region"] = member.region.str();
  out["failure_domain"] = member.failure_domain.str();
  out["incarnation"] = static_cast<Json::UInt64>(member.incarnation);
  if (member.target) {
    out["target"] = EncodeTarget(*member.target);
  }
  return ToJsonText(out);
}

Result<Member> DecodeDirectoryEntry(const std::string& text,
                                    const std::string& source) {
  const Result<Json::Value> parsed = ParseJson(text, source);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& in = parsed.value();
  const bool typed = in.isObject() && in["vm"].isString() &&
                     in["address"].isString() && in["region"].isString() &&
                     in["failure_domain"].isString() &&
                     in["incarnation"].isUInt64();
  if (!typed) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "the value is not a directory entry"};
  }
  const Result<Endpoint> endpoint = ParseEndpoint(in["address"].asString());
  if (!endpoint) {
    return Error{ErrorCode::kInvalid, source, 0, "address",
                 endpoint.error().reason};
  }
  Member member;
  member.vm = VmId(in["vm"].asString());
  member.endpoint = endpoint.value();
  member.region = RegionId(in["region"].asString());
  member.failure_domain = FailureDomainId(in["failure_domain"].asString());
  member.incarnation = in["incarnation"].asUInt64();
  if (in.isMember("target")) {
    const Result<AnnouncedTarget> target =
        ParseAnnouncement(ToJsonText(in["target"]));
    if (!target) {
      return target.error();
    }
    member.target = target.value();
  }
  return member;
}

}  // namespace cumin
