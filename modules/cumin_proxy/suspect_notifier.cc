#include "cumin_proxy/suspect_notifier.h"

namespace cumin {

namespace {

constexpr char kMethod[] = "admission.suspects";
/** Up to this size every member is told, so that a target whose announcement
    has not spread yet is not missed. */
constexpr std::size_t kSmallFleet = 32;
constexpr Duration kPeerTimeout = std::chrono::milliseconds(250);
constexpr Duration kTotalTimeout = std::chrono::seconds(2);

bool Carries(const Member& member, const ServiceId& service) {
  return member.target && member.target->service == service;
}

/** @returns true when the VM's own target crashed under one of the requests;
    its announcement may not have reached this daemon yet */
bool WasHit(const VmId& vm, const std::vector<SuspectRecord>& records) {
  for (const SuspectRecord& record : records) {
    for (const SuspectCrash& it : record.crashes) {
      if (it.crash.vm == vm) {
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

}  // namespace cumin
