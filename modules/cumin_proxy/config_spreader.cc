#include "cumin_proxy/config_spreader.h"

#include <utility>
#include <vector>

#include "cumin_core/json_object.h"
#include "cumin_core/logging.h"

namespace cumin {

namespace {

constexpr Duration kPushTimeout = std::chrono::seconds(1);
constexpr Duration kPullTimeout = std::chrono::seconds(2);
constexpr int kServedAtOnce = 8;

}  // namespace

ConfigSpreader::ConfigSpreader(Blackboard& board, ConfigHolder& config,
                               FleetState& state, PeerCaller& caller,
                               TaskPool& pool)
    : board_(board),
      config_(config),
      state_(state),
      caller_(caller),
      pool_(pool),
      transfers_(board.metrics.GetCounter("config_region_transfers_total")),
      pulls_(board.metrics.GetCounter("config_pulls_total")),
      serving_(kServedAtOnce) {}

void ConfigSpreader::Register(JsonRpcDispatcher& dispatcher) {
  dispatcher.Register("config.push", [this](const Json::Value& parameters) {
    return OnPush(parameters);
  });
  dispatcher.Register("config.pull", [this](const Json::Value& parameters) {
    return OnPull(parameters);
  });
}

void ConfigSpreader::SpreadFromHere(std::uint64_t before) {
  Push push;
  push.from = board_.settings.vm;
  push.root = board_.settings.vm;
  push.version = config_.Stamp().version;
  push.delta = config_.DeltaFrom(before);
  const auto plan = state_.Plan();
  if (plan->source_region() == board_.settings.region) {
    for (const RegionTransfer& it : plan->Transfers()) {
      pool_.Post([this, push, it] { CrossLink(push, it.to_region); });
    }
  }
  PassOn(push, board_.settings.vm);
}

Result<GateDecision> ConfigSpreader::PullFromPeer(const Member& peer) {
  pulls_.Add();
  Json::Value parameters;
  parameters["have"] = Json::UInt64{config_.Stamp().version};
  const Result<Json::Value> answer =
      caller_.Call(peer, "config.pull", parameters, kPullTimeout);
  if (!answer) {
    return answer.error();
  }
  JsonObject fields(answer.value(), peer.vm.str());
  const WallTime now = board_.clock.WallNow();
  if (fields.Has("delta")) {
    JsonObject child = fields.Object("delta");
    const ConfigDelta delta = ReadConfigDelta(child);
    const Result<void> checked = fields.Finish();
    if (!checked) {
      return checked.error();
    }
    return config_.TakeDelta(delta, now);
  }
  if (fields.Has("bundle")) {
    JsonObject child = fields.Object("bundle");
    const ConfigBundle bundle = ReadConfigBundle(child);
    const Result<void> checked = fields.Finish();
    if (!checked) {
      return checked.error();
    }
    return config_.Take(bundle, now);
  }
  return GateDecision::kSame;
}

void ConfigSpreader::Repair() {
  const std::optional<PullFrom> pull = state_.NextPull();
  if (!pull) {
    return;
  }
  const std::optional<Member> peer = state_.Find(pull->peer);
  const bool posted = peer && pool_.Post([this, peer] {
    const Result<GateDecision> pulled = PullFromPeer(*peer);
    if (!pulled) {
      CUMIN_LOG(debug) << "pull from " << peer->vm << ": " << pulled.error();
    }
    state_.OnPullEnd(pulled.has_value());
  });
  if (!posted) {
    state_.OnPullEnd(false);
  }
}

Json::Value ConfigSpreader::ToJson(const Push& push) {
  Json::Value value;
  value["from"] = push.from.str();
  value["root"] = push.root.str();
  value["version"] = Json::UInt64{push.version};
  if (push.delta) {
    value["delta"] = cumin::ToJson(*push.delta);
  }
  return value;
}

Result<ConfigSpreader::Push> ConfigSpreader::ParsePush(
    const Json::Value& value) {
  JsonObject fields(value, "config.push");
  Push push;
  push.from = fields.Name<VmId>("from");
  push.root = fields.Name<VmId>("root");
  push.version = fields.Unsigned("version");
  if (fields.Has("delta")) {
    JsonObject child = fields.Object("delta");
    push.delta = ReadConfigDelta(child);
  }
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return push;
}

void ConfigSpreader::PassOn(const Push& push, const VmId& node) {
  const auto plan = state_.Plan();
  for (const VmId& it : plan->Children(push.version, push.root, node)) {
    if (it != board_.settings.vm) {
      pool_.Post([this, push, it] { Send(push, it); });
    }
  }
}

void ConfigSpreader::Send(const Push& push, const VmId& child) {
  if (!SendTo(push, child)) {
    // Its own children would wait for anti-entropy otherwise.
    PassOn(push, child);
  }
}

bool ConfigSpreader::SendTo(const Push& push, const VmId& to) {
  const std::optional<Member> peer = state_.Find(to);
  if (!peer) {
    return false;
  }
  const Result<Json::Value> answer =
      caller_.Call(*peer, "config.push", ToJson(push), kPushTimeout);
  return answer && answer.value().isBool() && answer.value().asBool();
}

void ConfigSpreader::CrossLink(const Push& push, const RegionId& region) {
  const auto plan = state_.Plan();
  for (const VmId& it : plan->Fetchers(region)) {
    Push across = push;
    across.root = it;
    transfers_.Add();
    if (SendTo(across, it)) {
      return;
    }
  }
}

Result<Json::Value> ConfigSpreader::OnPush(const Json::Value& parameters) {
  const Result<Push> parsed = ParsePush(parameters);
  if (!parsed) {
    return parsed.error();
  }
  Push push = parsed.value();
  if (push.version <= config_.Stamp().version) {
    return Json::Value(true);
  }
  Result<GateDecision> taken =
      Error{ErrorCode::kConflict, "", 0, "", "no delta"};
  if (push.delta) {
    taken = config_.TakeDelta(*push.delta, board_.clock.WallNow());
  }
  const std::optional<Member> from = state_.Find(push.from);
  if (!taken && taken.error().code == ErrorCode::kConflict && from) {
    taken = PullFromPeer(*from);
  }
  if (!taken) {
    return taken.error();
  }
  push.from = board_.settings.vm;
  PassOn(push, board_.settings.vm);
  return Json::Value(true);
}

Result<Json::Value> ConfigSpreader::OnPull(const Json::Value& parameters) {
  JsonObject fields(parameters, "config.pull");
  const std::uint64_t have = fields.Unsigned("have");
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  Json::Value answer(Json::objectValue);
  const std::shared_ptr<const ConfigBundle> held = config_.Find(0);
  if (!held || held->head.change.version <= have) {
    return answer;
  }
  {
    const std::lock_guard<std::mutex> lock(serving_mutex_);
    if (!serving_.TryBegin()) {
      return Error{ErrorCode::kUnavailable, "", 0, "", "busy; ask again later"};
    }
  }
  const std::optional<ConfigDelta> delta = config_.DeltaFrom(have);
  if (delta) {
    answer["delta"] = cumin::ToJson(*delta);
  } else {
    answer["bundle"] = cumin::ToJson(*held);
  }
  const std::lock_guard<std::mutex> lock(serving_mutex_);
  serving_.End();
  return answer;
}

}  // namespace cumin
