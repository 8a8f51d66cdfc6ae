#include "cumin_proxy/target_slot.h"

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr int kMaxSlots = 10000;
constexpr char kSource[] = "announcement";

Error BadField(const std::string& field, const std::string& reason) {
  return Error{ErrorCode::kInvalid, kSource, 0, field, reason};
}

std::optional<TargetState> ParseState(const std::string& text) {
  if (text == "starting") {
    return TargetState::kStarting;
  }
  if (text == "ready") {
    return TargetState::kReady;
  }
  if (text == "leaving") {
    return TargetState::kLeaving;
  }
  return std::nullopt;
}

}  // namespace

void TargetSlot::SetListener(Listener* listener) {
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = listener;
}

void TargetSlot::Announce(const AnnouncedTarget& target, MonoTime now) {
  Listener* listener = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    last_announced_ = now;
    if (target_ == target) {
      return;
    }
    target_ = target;
    listener = listener_;
  }
  if (listener != nullptr) {
    listener->TargetChanged(target);
  }
}

bool TargetSlot::Expire(MonoTime now, Duration limit) {
  Listener* listener = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!target_ || now - last_announced_ <= limit) {
      return false;
    }
    target_.reset();
    listener = listener_;
  }
  if (listener != nullptr) {
    listener->TargetChanged(std::nullopt);
  }
  return true;
}

std::optional<AnnouncedTarget> TargetSlot::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return target_;
}

Result<AnnouncedTarget> ParseAnnouncement(const std::string& text) {
  const Result<Json::Value> parsed = ParseJson(text, kSource);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& in = parsed.value();
  if (!in.isObject()) {
    return BadField("", "must be a JSON object");
  }
  if (!in["service"].isString() || in["service"].asString().empty()) {
    return BadField("service", "must be a service's name");
  }
  if (!in["address"].isString()) {
    return BadField("address", "must be an IPv4 number, a colon and a port");
  }
  const Result<Endpoint> endpoint = ParseEndpoint(in["address"].asString());
  if (!endpoint) {
    return BadField("address", endpoint.error().reason);
  }
  if (!in["slots"].isInt() || in["slots"].asInt() < 0 ||
      in["slots"].asInt() > kMaxSlots) {
    return BadField("slots", "must be a whole number from 0 to " +
                                 std::to_string(kMaxSlots));
  }
  const std::optional<TargetState> state =
      in["state"].isString() ? ParseState(in["state"].asString())
                             : std::nullopt;
  if (!state) {
    return BadField("state", "must be one of: starting, ready, leaving");
  }
  return AnnouncedTarget{ServiceId(in["service"].asString()), endpoint.value(),
                         in["slots"].asInt(), *state};
}

}  // namespace cumin
