#include "cumin_fleet/member.h"

#include <string>

namespace cumin {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
/** JSON punctuation, field names, port and numbers of one encoded entry. */
constexpr std::size_t kEntryOverheadBytes = 72;
constexpr std::size_t kTargetOverheadBytes = 48;
constexpr std::size_t kWithdrawalBytes = 64;

Error InvalidField(const Member& member, const char* field,
                   const char* reason) {
  return Error{ErrorCode::kInvalid, member.vm.str(), 0, field, reason};
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

bool IsEndpoint(const Endpoint& endpoint) {
  return ParseEndpoint(ToString(endpoint)).has_value();
}

Result<void> CheckTarget(const Member& member) {
  const AnnouncedTarget& target = *member.target;
  if (!IsName(target.service.str())) {
    return InvalidField(member, "target.service", "must have 1 to 64 bytes");
  }
  if (!IsEndpoint(target.endpoint)) {
    return InvalidField(member, "target.endpoint",
                        "must be an IP address and port");
  }
  if (target.slots < 0 || target.slots > kMaxTargetSlots) {
    return InvalidField(member, "target.slots", "must be from 0 to 100000");
  }
  return Ok();
}

}  // namespace

const char* ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, MemberState state) {
  return out << ToString(state);
}

const char* ToString(TargetState state) {
  switch (state) {
    case TargetState::kStarting:
      return "starting";
    case TargetState::kReady:
      return "ready";
    case TargetState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

Result<void> CheckMember(const Member& member) {
  if (!IsName(member.vm.str())) {
    return InvalidField(member, "vm", "must have 1 to 64 bytes");
  }
  if (!IsName(member.region.str())) {
    return InvalidField(member, "region", "must have 1 to 64 bytes");
  }
  if (!IsName(member.failure_domain.str())) {
    return InvalidField(member, "failure_domain", "must have 1 to 64 bytes");
  }
  if (!IsEndpoint(member.endpoint)) {
    return InvalidField(member, "endpoint", "must be an IP address and port");
  }
  if (member.incarnation == 0 || member.incarnation >= kMaxIncarnation) {
    return InvalidField(member, "incarnation", "must be from 1 to 2^53 - 1");
  }
  return member.target ? CheckTarget(member) : Ok();
}

std::size_t EstimateBytes(const Member& member) {
  std::size_t n = kEntryOverheadBytes + member.vm.str().size() +
                  member.endpoint.address.size() + member.region.str().size() +
                  member.failure_domain.str().size();
  if (member.target) {
    n += kTargetOverheadBytes + member.target->service.str().size() +
         member.target->endpoint.address.size();
  }
  if (member.withdrawal) {
    n += kWithdrawalBytes;
  }
  return n;
}

bool Supersedes(const Member& received, const Member& stored) {
  if (received.incarnation != stored.incarnation) {
    return received.incarnation > stored.incarnation;
  }
  return received.state > stored.state;
}

}  // namespace cumin
