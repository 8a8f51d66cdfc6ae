#include "cumin_proxy/suspect_notifier.h"

namespace cumin {

namespace {

constexpr char kMethod[] = "admission.suspects";
/** Up to this size every member is told, so that a target whose announcement
    has not spread yet is not missed. */
constexpr std::size_t kSmallFleet = 32;
constexpr Duration kPeerTimeout = std::chrono::milliseconds(250);
constexpr Duration kTotalTimeout = std::chrono::seconds(2);

Error BadField(const char* field) {
  return Error{ErrorCode::kInvalid, kMethod, 0, field,
               "is missing or of the wrong type"};
}

Result<SuspectRecord> DecodeSuspect(const Json::Value& in) {
  if (!in.isObject() || !in["fingerprint"].isUInt64()) {
    return BadField("fingerprint");
  }
  if (!in["remaining_ms"].isInt64() || !in["crashes"].isArray()) {
    return BadField("remaining_ms");
  }
  SuspectRecord record;
  record.fingerprint.value = in["fingerprint"].asUInt64();
  record.remaining = std::chrono::milliseconds(in["remaining_ms"].asInt64());
  for (const Json::Value& it : in["crashes"]) {
    if (!it.isObject() || !it["vm"].isString() || !it["sequence"].isUInt64()) {
      return BadField("crashes");
    }
    record.crashes.push_back(
        TargetCrash{VmId(it["vm"].asString()), it["sequence"].asUInt64()});
  }
  return record;
}

bool Carries(const Member& member, const ServiceId& service) {
  return member.target && member.target->service == service;
}

/** @returns true when the VM's own target crashed under one of the requests;
    its announcement may not have reached this daemon yet */
bool WasHit(const VmId& vm, const std::vector<SuspectRecord>& records) {
  for (const SuspectRecord& record : records) {
    for (const TargetCrash& it : record.crashes) {
      if (it.vm == vm) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

SuspectNotifier::SuspectNotifier(Blackboard& board)
    : board_(board), caller_(board.metrics, board.settings.region) {}

void SuspectNotifier::Register(JsonRpcDispatcher& dispatcher) {
  dispatcher.Register(
      kMethod, [this](const Json::Value& in) -> Result<Json::Value> {
        const Result<std::vector<SuspectRecord>> records = DecodeSuspects(in);
        if (!records) {
          return records.error();
        }
        return EncodeSuspects(board_.gate.ImportSuspects(records.value()));
      });
}

int SuspectNotifier::Tell(const ServiceId& service,
                          const std::vector<SuspectRecord>& records) {
  const Json::Value message = EncodeSuspects(records);
  const MonoTime end = board_.clock.Now() + kTotalTimeout;
  int confirmed = 0;
  const std::vector<Member> members = board_.fleet.Members();
  const bool is_small = members.size() <= kSmallFleet;
  for (const Member& it : members) {
    const bool concerned =
        is_small || Carries(it, service) || WasHit(it.vm, records);
    if (!concerned || it.vm == board_.settings.vm ||
        board_.clock.Now() >= end) {
      continue;
    }
    const Result<Json::Value> answer =
        caller_.Call(it, kMethod, message, kPeerTimeout);
    if (!answer) {
      continue;
    }
    confirmed += 1;
    // What the peer knows of these requests may have missed this daemon.
    const Result<std::vector<SuspectRecord>> known =
        DecodeSuspects(answer.value());
    if (known) {
      board_.gate.ImportSuspects(known.value());
    }
  }
  return confirmed;
}

Json::Value EncodeSuspects(const std::vector<SuspectRecord>& records) {
  Json::Value list(Json::arrayValue);
  for (const SuspectRecord& record : records) {
    Json::Value out;
    out["fingerprint"] = Json::UInt64{record.fingerprint.value};
    out["remaining_ms"] = Json::Int64{ToMillis(record.remaining)};
    out["crashes"] = Json::Value(Json::arrayValue);
    for (const TargetCrash& it : record.crashes) {
      Json::Value crash;
      crash["vm"] = it.vm.str();
      crash["sequence"] = Json::UInt64{it.sequence};
      out["crashes"].append(crash);
    }
    list.append(out);
  }
  Json::Value message;
  message["records"] = list;
  return message;
}

Result<std::vector<SuspectRecord>> DecodeSuspects(const Json::Value& in) {
  if (!in.isObject() || !in["records"].isArray()) {
    return BadField("records");
  }
  std::vector<SuspectRecord> records;
  for (const Json::Value& it : in["records"]) {
    Result<SuspectRecord> record = DecodeSuspect(it);
    if (!record) {
      return record.error();
    }
    records.push_back(std::move(record.value()));
  }
  return records;
}

}  // namespace cumin
