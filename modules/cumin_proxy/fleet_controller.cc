#include "cumin_proxy/fleet_controller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "cumin_core/logging.h"
#include "cumin_fleet/fleet_codec.h"

namespace cumin {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
/** Below the period of the probes, above a slow cross-region round trip. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(700);
constexpr Duration kIndirectTimeout = std::chrono::milliseconds(400);
constexpr Duration kPageTimeout = std::chrono::seconds(2);
constexpr Duration kUpkeepPeriod = std::chrono::seconds(10);
constexpr std::size_t kPageMembers = 50;
constexpr std::size_t kMaxCompareMembers = 100;
constexpr std::size_t kContacts = 8;
constexpr std::size_t kGreetings = 3;
constexpr int kServedAtOnce = 8;
constexpr std::size_t kMaxDigestBytes = 20;

Error Busy() {
  return Error{ErrorCode::kUnavailable, "", 0, "", "busy; ask again later"};
}

}  // namespace

FleetController::FleetController(Blackboard& board, Store& store,
                                 FleetState& state, PeerCaller& caller,
                                 TaskPool& pool, ConfigSpreader& spreader)
    : board_(board),
      state_(state),
      caller_(caller),
      pool_(pool),
      spreader_(spreader),
      directory_(store),
      join_backoff_(BackoffSettings{}),
      serving_(kServedAtOnce) {}

FleetController::~FleetController() { Stop(); }

void FleetController::Register(JsonRpcDispatcher& dispatcher) {
  using Value = Json::Value;
  dispatcher.Register("fleet.ping",
                      [this](const Value& it) { return OnPing(it); });
  dispatcher.Register("fleet.ping_req",
                      [this](const Value& it) { return OnPingRequest(it); });
  dispatcher.Register("fleet.page",
                      [this](const Value& it) { return OnPage(it); });
  dispatcher.Register("fleet.compare",
                      [this](const Value& it) { return OnCompare(it); });
}

void FleetController::Leave() {
  state_.Leave();
  GreetPeers(kGreetings);
}

Duration FleetController::Step() {
  const MonoTime now = board_.clock.Now();
  board_.target.Expire(now, board_.settings.announce_timeout);
  for (const DetectorAction& it : state_.Tick()) {
    Carry(it);
  }
  KeepJoined(now);
  if (state_.TakeExtraGossip()) {
    pool_.Post([this] { GreetPeers(1); });
  }
  if (board_.settings.spread == SpreadMode::kTree) {
    spreader_.Repair();
  }
  return kTick;
}

void FleetController::Carry(const DetectorAction& action) {
  if (const auto* probe = std::get_if<SendProbe>(&action)) {
    pool_.Post([this, it = *probe] { Probe(it); });
  } else if (const auto* ask = std::get_if<SendIndirectProbe>(&action)) {
    pool_.Post([this, it = *ask] { ProbeThrough(it); });
  } else if (const auto* pause = std::get_if<ProcessPaused>(&action)) {
    CUMIN_LOG(warning) << "paused for " << ToMillis(pause->length) << " ms";
  }
}

void FleetController::Probe(const SendProbe& probe) {
  const std::optional<Member> peer = state_.Find(probe.target);
  if (!peer) {
    return;
  }
  const Result<GossipMessage> ack = Ping(*peer, kProbeTimeout);
  const std::uint64_t known = ack ? ack.value().known_incarnation : 0;
  state_.OnProbeEnd(probe.probe, ack.has_value(), known);
}

void FleetController::ProbeThrough(const SendIndirectProbe& ask) {
  const std::optional<Member> via = state_.Find(ask.via);
  if (!via) {
    return;
  }
  Json::Value parameters;
  parameters["target"] = ask.target.str();
  const Result<Json::Value> answer =
      caller_.Call(*via, "fleet.ping_req", parameters, kProbeTimeout);
  if (answer && answer.value().isBool()) {
    state_.OnIndirectEnd(ask.probe, answer.value().asBool());
  }
}

Result<GossipMessage> FleetController::Ping(const Member& peer,
                                            Duration timeout) {
  const Result<Json::Value> answer = caller_.Call(
      peer, "fleet.ping", ToJson(state_.Compose(peer.vm)), timeout);
  if (!answer) {
    return answer.error();
  }
  Result<GossipMessage> ack = ParseGossip(answer.value());
  if (ack && state_.Hear(ack.value())) {
    CompareWith(peer);
  }
  return ack;
}

void FleetController::CompareWith(const Member& peer) {
  Json::Value parameters;
  for (const std::uint64_t it : state_.BucketDigests()) {
    parameters["digests"].append(std::to_string(it));
  }
  const Result<Json::Value> answer =
      caller_.Call(peer, "fleet.compare", parameters, kPageTimeout);
  if (!answer) {
    return;
  }
  JsonObject fields(answer.value(), peer.vm.str());
  const std::vector<Member> members = ReadMembers(fields, "members");
  if (fields.Finish()) {
    state_.MergeState(members);
  }
}

void FleetController::KeepJoined(MonoTime now) {
  const bool alone = state_.Live().size() < 2;
  const bool keeps_contacts =
      state_.Plan()->FetcherRank(board_.settings.vm) == 0 &&
      now >= next_upkeep_;
  if ((!alone || now < next_join_) && !keeps_contacts) {
    return;
  }
  if (joining_.exchange(true)) {
    return;
  }
  next_join_ = now + join_backoff_.Next(board_.random) + kTick;
  next_upkeep_ = now + kUpkeepPeriod;
  if (!pool_.Post([this] { Join(); })) {
    joining_ = false;
  }
}

void FleetController::Join() {
  std::vector<Member> contacts;
  for (const Endpoint& it : board_.settings.seeds) {
    Member seed;
    seed.endpoint = it;
    contacts.push_back(seed);
  }
  const Result<std::vector<Member>> listed = directory_.ReadContacts();
  if (listed) {
    contacts.insert(contacts.end(), listed.value().begin(),
                    listed.value().end());
  }
  bool joined = false;
  for (const Member& it : contacts) {
    const bool known = !it.vm.empty() && state_.Find(it.vm).has_value();
    const bool own = it.endpoint == state_.Self().endpoint;
    if (!known && !own && !(it.vm.empty() && state_.Live().size() > 1)) {
      joined = JoinThrough(it) || joined;
    }
  }
  if (joined) {
    GreetPeers(kGreetings);
  }
  const auto plan = state_.Plan();
  if (listed && plan->FetcherRank(board_.settings.vm) == 0) {
    std::vector<Member> own_region;
    for (const VmId& it : plan->FetcherRanking(board_.settings.region)) {
      const std::optional<Member> member = state_.Find(it);
      if (member && own_region.size() < kContacts) {
        own_region.push_back(*member);
        own_region.back().target.reset();
        own_region.back().state = MemberState::kAlive;
      }
    }
    (void)directory_.WriteContacts(board_.settings.region, own_region);
  }
  joining_ = false;
}

bool FleetController::JoinThrough(const Member& contact) {
  VmId after;
  bool joined = false;
  while (!stopping()) {
    Json::Value parameters;
    parameters["after"] = after.str();
    parameters["self"] = ToJson(state_.Self());
    const Result<Json::Value> answer =
        caller_.Call(contact, "fleet.page", parameters, kPageTimeout);
    if (!answer) {
      return joined;
    }
    JsonObject fields(answer.value(), ToString(contact.endpoint));
    const std::vector<Member> members = ReadMembers(fields, "members");
    if (!fields.Finish()) {
      return joined;
    }
    state_.MergeState(members);
    joined = true;
    if (members.size() < kPageMembers) {
      return joined;
    }
    after = members.back().vm;
  }
  return joined;
}

void FleetController::GreetPeers(std::size_t count) {
  std::vector<Member> peers = state_.Live();
  const VmId self = board_.settings.vm;
  peers.erase(std::remove_if(peers.begin(), peers.end(),
                             [&](const Member& it) { return it.vm == self; }),
              peers.end());
  for (std::size_t i = 0; i < count && !peers.empty(); ++i) {
    const std::size_t chosen = board_.random.Below(peers.size());
    (void)Ping(peers[chosen], kProbeTimeout);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

Result<Json::Value> FleetController::OnPing(const Json::Value& parameters) {
  const Result<GossipMessage> ping = ParseGossip(parameters);
  if (!ping) {
    return ping.error();
  }
  const VmId from = ping.value().from;
  if (state_.Hear(ping.value())) {
    const std::optional<Member> peer = state_.Find(from);
    if (peer) {
      pool_.Post([this, peer] { CompareWith(*peer); });
    }
  }
  return ToJson(state_.Compose(from));
}

Result<Json::Value> FleetController::OnPingRequest(
    const Json::Value& parameters) {
  JsonObject fields(parameters, "fleet.ping_req");
  const auto target = fields.Name<VmId>("target");
  const std::optional<Member> peer = state_.Find(target);
  if (!fields.Finish() || !peer) {
    return Json::Value(false);
  }
  return Json::Value(Ping(*peer, kIndirectTimeout).has_value());
}

Result<Json::Value> FleetController::OnPage(const Json::Value& parameters) {
  JsonObject fields(parameters, "fleet.page");
  const auto after = fields.Name<VmId>("after");
  JsonObject self_fields = fields.Object("self");
  const Member joining = ReadMember(self_fields);
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  {
    const std::lock_guard<std::mutex> lock(serving_mutex_);
    if (!serving_.TryBegin()) {
      return Busy();
    }
  }
  state_.MergeState({joining});
  Json::Value answer;
  answer["members"] = ToJson(state_.Page(after, kPageMembers));
  const std::lock_guard<std::mutex> lock(serving_mutex_);
  serving_.End();
  return answer;
}

Result<Json::Value> FleetController::OnCompare(const Json::Value& parameters) {
  JsonObject fields(parameters, "fleet.compare");
  const std::vector<std::string> texts =
      fields.Strings("digests", MemberTable::kBuckets, kMaxDigestBytes);
  if (!fields.Finish() || texts.size() != MemberTable::kBuckets) {
    return Error{ErrorCode::kInvalid, "fleet.compare", 0, "digests",
                 "must be one for each bucket"};
  }
  std::vector<std::uint64_t> digests;
  digests.reserve(texts.size());
  for (const std::string& it : texts) {
    digests.push_back(std::strtoull(it.c_str(), nullptr, 10));
  }
  Json::Value answer;
  answer["members"] = ToJson(state_.Differing(digests, kMaxCompareMembers));
  return answer;
}

}  // namespace cumin
