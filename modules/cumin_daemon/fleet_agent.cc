#include "cumin_daemon/fleet_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/compression.h"
#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"
#include "cumin_fleet/fleet_codec.h"

namespace cumin {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kCompareTimeout = std::chrono::seconds(2);
/** A target takes an acknowledgement that arrives within one second. */
constexpr Duration kReplicationTimeout = std::chrono::milliseconds(250);
constexpr int kReplicationTries = 2;
constexpr Duration kRelayedProbeLifetime = std::chrono::seconds(1);
constexpr std::size_t kMaxDatagramBytes = 8192;
constexpr std::size_t kMaxDigestBytes = 20;
constexpr std::size_t kMaxTopicBytes = 16;
constexpr std::size_t kMaxMembers = 4096;
/** Limit of a decompressed answer of a comparison: kMaxMembers entries. */
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20U;
constexpr int kKinds = 6;
/** Members to which a departure, of a daemon or of its target, is gossiped at
    once. */
constexpr int kLeaveGossipFanout = 6;
/** How long gossip is sent to a departed member: its process restarts within
    seconds unless the VM is gone permanently. */
constexpr Duration kDepartedGossipPeriod = std::chrono::seconds(30);
constexpr Duration kDepartedGossipInterval = std::chrono::milliseconds(400);
/** Start of the ids for probes relayed on behalf of others; outside the range
    that the failure detector uses. */
constexpr ProbeId kFirstRelayedProbe = ProbeId{1} << 40U;

asio::ip::udp::endpoint ToUdp(const Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.address), endpoint.port};
}

}  // namespace

FleetAgent::FleetAgent(DaemonContext& context, PeerClient& peers)
    : context_(context),
      peers_(peers),
      table_(MakeSelf(context), MemberTableSettings{}),
      queue_(GossipSettings{}),
      pacer_(GossipPacerSettings{}),
      gossip_targets_(table_),
      exchange_(table_, queue_),
      detector_(table_, DetectorSettings{}),
      socket_(context.executor),
      next_relayed_probe_(kFirstRelayedProbe) {
  table_.AddListener(&queue_);
  table_.AddListener(this);
}

FleetAgent::~FleetAgent() { table_.RemoveListener(this); }

Member FleetAgent::MakeSelf(const DaemonContext& context) {
  Member self;
  self.vm = context.settings.vm;
  self.endpoint = context.settings.peers;
  self.region = context.settings.region;
  self.failure_domain = context.settings.failure_domain;
  // Higher than any incarnation of an earlier run, unless the clock has stepped
  // back; in that case the peers' gossip raises it.
  self.incarnation =
      static_cast<std::uint64_t>(ToUnixMillis(context.clock.WallNow()));
  return self;
}

Result<void> FleetAgent::Start() {
  boost::system::error_code ec;
  socket_.open(asio::ip::udp::v4(), ec);
  if (!ec) {
    socket_.bind(ToUdp(context_.settings.peers), ec);
  }
  if (ec) {
    return Error{ErrorCode::kUnavailable, ToString(context_.settings.peers), 0,
                 "peers", "cannot bind: " + ec.message()};
  }
  asio::co_spawn(context_.executor, Receive(), asio::detached);
  asio::co_spawn(context_.executor, RunTickLoop(), asio::detached);
  return Ok();
}

Task<bool> FleetAgent::JoinThrough(Endpoint contact) {
  co_return co_await SyncTable(std::move(contact), kCompareTimeout);
}

Task<void> FleetAgent::ReplicateSelf() {
  GossipToRandomMembers(kLeaveGossipFanout);
  std::vector<Member> own_region;
  std::vector<Member> others;
  for (const Member& it : table_.Live()) {
    if (it.vm != context_.settings.vm) {
      (it.region == context_.settings.region ? own_region : others)
          .push_back(it);
    }
  }
  // Peers of the same region answer soonest.
  std::vector<Member>& peers = own_region.empty() ? others : own_region;
  bool was_replicated = peers.empty();
  for (int i = 0; i < kReplicationTries && !was_replicated; ++i) {
    const Endpoint peer = peers[context_.random.Below(peers.size())].endpoint;
    was_replicated = co_await SyncTable(peer, kReplicationTimeout);
  }
  if (!was_replicated) {
    context_.log.Write(EventLine("withdrawal-not-replicated"));
  }
}

Task<bool> FleetAgent::SyncTable(Endpoint peer, Duration timeout) {
  Json::Value request_body;
  request_body["self"] = ToJson(table_.self());
  for (const std::uint64_t it : table_.bucket_digests()) {
    request_body["digests"].append(std::to_string(it));
  }
  HttpRequest request;
  request.method = "POST";
  request.path = kComparePath;
  request.body = ToJsonText(request_body);
  const Result<HttpResponse> answer =
      co_await peers_.Send(peer, std::move(request), timeout);
  if (!answer) {
    co_return false;
  }
  const Result<std::string> text =
      Decompress(answer.value().body, kMaxAnswerBytes, ToString(peer));
  if (!text) {
    co_return false;
  }
  const Result<Json::Value> value = ParseJson(text.value(), ToString(peer));
  if (!value) {
    co_return false;
  }
  JsonObject fields(value.value(), ToString(peer));
  const std::vector<Member> members = ReadMembers(fields, "members");
  if (!fields.Finish()) {
    co_return false;
  }
  for (const Member& it : members) {
    (void)table_.Merge(it, MergeSource::kTableSync, context_.clock.Now());
  }
  UpdateChooser();
  OnHistoryKnown();
  co_return true;
}

void FleetAgent::OnHistoryKnown() {
  if (!context_.announcements.IsHistoryKnown(context_.clock.Now())) {
    context_.announcements.OnHistoryKnown();
    context_.log.Write(EventLine("history-known"));
  }
}

Result<std::string> FleetAgent::OnCompare(const std::string& body) {
  const Result<Json::Value> value = ParseJson(body, "peer");
  if (!value) {
    return value.error();
  }
  JsonObject fields(value.value(), "peer");
  JsonObject self_fields = fields.Object("self");
  const Member sender = ReadMember(self_fields);
  const std::vector<std::string> digests =
      fields.Strings("digests", MemberTable::kBuckets, kMaxDigestBytes);
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  if (digests.size() != MemberTable::kBuckets) {
    return Error{ErrorCode::kInvalid, "peer", 0, "digests",
                 "must contain one digest for each bucket"};
  }
  std::vector<Member> members;
  for (int i = 0; i < MemberTable::kBuckets; ++i) {
    if (std::to_string(table_.bucket_digests()[i]) == digests[i] ||
        members.size() >= kMaxMembers) {
      continue;
    }
    const std::vector<Member> bucket = table_.Bucket(i);
    members.insert(members.end(), bucket.begin(), bucket.end());
  }
  const Member* const former = table_.Find(sender.vm);
  if (former != nullptr && former->withdrawal) {
    // The buckets may agree although the sender restarted: this daemon may
    // already have its new entry by gossip.
    members.push_back(*former);
  }
  (void)table_.Merge(sender, MergeSource::kGossip, context_.clock.Now());
  UpdateChooser();
  Json::Value answer;
  answer["members"] = ToJson(members);
  return Compress(ToJsonText(answer));
}

void FleetAgent::AnnounceTarget() {
  const MonoTime now = context_.clock.Now();
  const auto& report = context_.announcements.last();
  const auto& withdrawal = context_.announcements.withdrawal();
  if (withdrawal) {
    table_.SetWithdrawal(*withdrawal, now);
  }
  std::optional<AnnouncedTarget> target;
  if (report && context_.announcements.IsHistoryKnown(now)) {
    const bool is_ready =
        context_.announcements.IsReady(now) && !context_.is_draining;
    target = AnnouncedTarget{
        context_.settings.service, context_.settings.target, report->slots,
        is_ready ? TargetState::kReady : TargetState::kLeaving,
        context_.settings.rollouts ? report->version : std::string()};
  }
  if (target != table_.self().target) {
    table_.SetTarget(target, now);
    UpdateChooser();
  }
}

void FleetAgent::Leave() {
  AnnounceTarget();
  table_.Leave(context_.clock.Now());
  UpdateChooser();
  GossipToRandomMembers(kLeaveGossipFanout);
}

std::vector<Member> FleetAgent::PeersOfService(const ServiceId& service) const {
  std::vector<Member> members = table_.Live();
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [&](const Member& it) {
                       return it.vm == context_.settings.vm ||
                              (it.target && it.target->service != service);
                     }),
      members.end());
  return members;
}

const SpreadPlan& FleetAgent::Plan() {
  if (!plan_) {
    plan_.emplace(table_.Live(), RegionId());
  }
  return *plan_;
}

void FleetAgent::OnMemberChanged(const Member* before, const Member& after,
                                 MergeSource /*source*/) {
  is_chooser_stale_ = true;
  members_epoch_ += 1;
  plan_.reset();
  if (after.vm == context_.settings.vm && after.withdrawal) {
    context_.announcements.LearnWithdrawal(*after.withdrawal);
  }
  if (IsLive(after)) {
    departed_.erase(after.vm);
  } else {
    departed_[after.vm] = context_.clock.Now() + kDepartedGossipPeriod;
  }
  if (before == nullptr || before->state != after.state) {
    context_.log.Write(
        EventLine("member")
            .With("member", after.vm.str())
            .With("before", before == nullptr ? "-" : ToString(before->state))
            .With("state", ToString(after.state))
            .With("incarnation", static_cast<std::int64_t>(after.incarnation)));
  }
}

void FleetAgent::OnMemberExpired(const Member& /*last*/) {
  is_chooser_stale_ = true;
}

Task<void> FleetAgent::Receive() {
  std::string buf(kMaxDatagramBytes, '\0');
  while (socket_.is_open()) {
    asio::ip::udp::endpoint from;
    boost::system::error_code ec;
    const std::size_t n = co_await socket_.async_receive_from(
        asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      OnDatagram(buf.substr(0, n),
                 Endpoint{from.address().to_string(), from.port()});
    }
  }
}

Task<void> FleetAgent::RunTickLoop() {
  while (socket_.is_open()) {
    Tick();
    co_await SleepFor(kTick);
  }
}

void FleetAgent::Tick() {
  const MonoTime now = context_.clock.Now();
  AnnounceTarget();
  table_.Expire(now);
  for (const DetectorAction& it : detector_.Tick(now, context_.random)) {
    Execute(it);
  }
  if (pacer_.Take(now, queue_.HasRecentUpdate())) {
    GossipToRandomMembers(1);
  }
  GossipToDepartedMembers(now);
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    it = it->second.until < now ? relayed_probes_.erase(it) : std::next(it);
  }
  UpdateChooser();
}

void FleetAgent::Execute(const DetectorAction& action) {
  if (const auto* probe = std::get_if<SendProbe>(&action)) {
    Send(probe->target, Kind::kPing, probe->probe, VmId());
  } else if (const auto* indirect = std::get_if<SendIndirectProbe>(&action)) {
    Send(indirect->via, Kind::kPingRequest, indirect->probe, indirect->target);
  } else if (const auto* pause = std::get_if<ProcessPaused>(&action)) {
    context_.log.Write(EventLine("paused").With("length_ms", pause->length));
  }
}

void FleetAgent::Send(const VmId& to, Kind kind, ProbeId probe,
                      const VmId& about) {
  const Member* const member = table_.Find(to);
  if (member != nullptr) {
    SendTo(member->endpoint, to, kind, probe, about);
  }
}

void FleetAgent::SendTo(const Endpoint& to, const VmId& vm, Kind kind,
                        ProbeId probe, const VmId& about) {
  GossipMessage message = exchange_.Compose(vm);
  for (Listener* const it : listeners_) {
    it->OnCompose(message);
  }
  Json::Value value = ToJson(message);
  value["t"] = static_cast<int>(kind);
  value["n"] = Json::UInt64{probe};
  value["o"] = vm.str();
  if (!about.empty()) {
    value["a"] = about.str();
  }
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(ToJsonText(value)), ToUdp(to), 0, ignored);
}

void FleetAgent::OnDatagram(const std::string& text, const Endpoint& sender) {
  const Result<Json::Value> value = ParseJson(text, "peer");
  if (!value) {
    return;
  }
  if (value.value().isObject() &&
      value.value()["t"] == static_cast<int>(Kind::kNote)) {
    OnNote(value.value());
    return;
  }
  const Result<GossipMessage> message = ParseGossip(value.value());
  JsonObject fields(value.value(), "peer");
  const std::uint64_t kind = fields.Unsigned("t");
  const ProbeId probe = fields.Unsigned("n");
  const VmId to = fields.Name<VmId>("o");
  if (!message || !fields.Finish() || kind >= kKinds) {
    return;
  }
  if (to != context_.settings.vm) {
    // Addressed to the VM that had this address before. A reply would keep that
    // VM alive in the sender's member table.
    return;
  }
  const MonoTime now = context_.clock.Now();
  const VmId from = message.value().from;
  const GossipMergeResult absorbed = exchange_.Absorb(message.value(), now);
  for (Listener* const it : listeners_) {
    it->OnMessage(message.value());
  }
  switch (static_cast<Kind>(kind)) {
    case Kind::kPing:
      Send(from, Kind::kAck, probe, VmId());
      break;
    case Kind::kAck: {
      const auto relayed_probe = relayed_probes_.find(probe);
      if (relayed_probe != relayed_probes_.end()) {
        Send(relayed_probe->second.requester, Kind::kIndirectAck,
             relayed_probe->second.probe, VmId());
        relayed_probes_.erase(relayed_probe);
      } else {
        detector_.OnAck(probe, message.value().known_incarnation, now);
      }
      break;
    }
    case Kind::kPingRequest: {
      const ProbeId relayed_probe = next_relayed_probe_++;
      relayed_probes_[relayed_probe] =
          RelayedProbe{from, probe, now + kRelayedProbeLifetime};
      Send(fields.Name<VmId>("a"), Kind::kPing, relayed_probe, VmId());
      break;
    }
    case Kind::kIndirectAck:
      detector_.OnIndirectAck(probe, now);
      break;
    case Kind::kGossipOnly:
    case Kind::kNote:
      break;
  }
  if (absorbed.needs_table_comparison || table_.Find(from) == nullptr) {
    CompareWith(sender);
  }
  UpdateChooser();
}

void FleetAgent::SendNote(const VmId& to, const std::string& topic,
                          Json::Value body) {
  const Member* const member = table_.Find(to);
  if (member == nullptr) {
    return;
  }
  Json::Value value;
  value["t"] = static_cast<int>(Kind::kNote);
  value["f"] = context_.settings.vm.str();
  value["o"] = to.str();
  value["g"] = topic;
  value["b"] = std::move(body);
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(ToJsonText(value)), ToUdp(member->endpoint), 0,
                  ignored);
}

void FleetAgent::OnNote(const Json::Value& value) {
  JsonObject fields(value, "peer");
  const VmId from = fields.Name<VmId>("f");
  const VmId to = fields.Name<VmId>("o");
  const std::string topic = fields.String("g", kMaxTopicBytes);
  if (!fields.Finish() || to != context_.settings.vm ||
      !value["b"].isObject()) {
    return;
  }
  const auto handler = note_handlers_.find(topic);
  if (handler != note_handlers_.end()) {
    handler->second->OnNote(from, value["b"]);
  }
}

void FleetAgent::CompareWith(const Endpoint& peer) {
  if (is_comparing_) {
    return;
  }
  is_comparing_ = true;
  asio::co_spawn(
      context_.executor,
      [](FleetAgent* self, Endpoint contact) -> Task<void> {
        co_await self->JoinThrough(contact);
        self->is_comparing_ = false;
      }(this, peer),
      asio::detached);
}

void FleetAgent::GossipToDepartedMembers(MonoTime now) {
  if (now < next_departed_gossip_) {
    return;
  }
  next_departed_gossip_ = now + kDepartedGossipInterval;
  for (auto it = departed_.begin(); it != departed_.end();) {
    if (it->second < now) {
      it = departed_.erase(it);
      continue;
    }
    if (gossip_targets_.MustGossipTo(it->first, context_.random)) {
      Send(it->first, Kind::kGossipOnly, 0, VmId());
    }
    ++it;
  }
}

void FleetAgent::GossipToRandomMembers(int count) {
  for (const VmId& it : gossip_targets_.Choose(count, context_.random)) {
    Send(it, Kind::kGossipOnly, 0, VmId());
  }
}

std::set<RegionId> FleetAgent::Regions() const {
  std::set<RegionId> regions;
  for (const Member& it : table_.Live()) {
    regions.insert(it.region);
  }
  return regions;
}

void FleetAgent::UpdateChooser() {
  if (is_chooser_stale_) {
    context_.most_live_daemons =
        std::max(context_.most_live_daemons, table_.live_count());
    const std::vector<Member> live = table_.Live();
    context_.chooser.SetMembers(live, context_.clock.Now());
    UpdateServiceShares(live);
    is_chooser_stale_ = false;
  }
}

void FleetAgent::UpdateServiceShares(const std::vector<Member>& live) {
  ServiceShares shares;
  double total = 0;
  for (const Member& it : live) {
    if (it.target) {
      shares[it.target->service] += 1;
      total += 1;
    }
  }
  for (auto& [service, share] : shares) {
    share /= total;
  }
  context_.service_shares = std::move(shares);
}

}  // namespace cumin
