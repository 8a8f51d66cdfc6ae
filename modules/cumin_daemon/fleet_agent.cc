#include "cumin_daemon/fleet_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"
#include "cumin_fleet/fleet_codec.h"

namespace cumin {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kCompareTimeout = std::chrono::seconds(2);
constexpr Duration kErrandTime = std::chrono::seconds(1);
constexpr std::size_t kMaxDatagramBytes = 8192;
constexpr std::size_t kMaxDigestBytes = 20;
constexpr std::size_t kMaxMembers = 4096;
constexpr int kKinds = 5;
constexpr int kLeaveGreetings = 6;
/** A member that has gone is greeted for this long: its process is back within
    seconds unless its VM is gone for good. */
constexpr Duration kGreetGoneFor = std::chrono::seconds(30);
constexpr Duration kGreetGoneInterval = std::chrono::milliseconds(400);
/** Daemons that greet a gone member in each interval, on average. */
constexpr double kGreetersOfGone = 3;
/** Numbers of probes made for others start here, beyond the detector's own. */
constexpr ProbeId kFirstErrand = ProbeId{1} << 40U;

asio::ip::udp::endpoint ToUdp(const Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.address), endpoint.port};
}

}  // namespace

FleetAgent::FleetAgent(DaemonContext& board, PeerClient& peers,
                       Listener& listener)
    : board_(board),
      peers_(peers),
      listener_(listener),
      table_(MakeSelf(board), MemberTableSettings{}),
      queue_(GossipSettings{}),
      pacer_(GossipPacerSettings{}),
      exchange_(table_, queue_),
      detector_(table_, DetectorSettings{}),
      socket_(board.executor),
      next_errand_(kFirstErrand) {
  table_.AddListener(&queue_);
  table_.AddListener(this);
}

FleetAgent::~FleetAgent() { table_.RemoveListener(this); }

Member FleetAgent::MakeSelf(const DaemonContext& board) {
  Member self;
  self.vm = board.settings.vm;
  self.endpoint = board.settings.peers;
  self.region = board.settings.region;
  self.failure_domain = board.settings.failure_domain;
  // Above any incarnation of an earlier run, unless the clock has stepped back;
  // then the peers' gossip raises it.
  self.incarnation =
      static_cast<std::uint64_t>(ToUnixMillis(board.clock.WallNow()));
  return self;
}

Result<void> FleetAgent::Start() {
  boost::system::error_code ec;
  socket_.open(asio::ip::udp::v4(), ec);
  if (!ec) {
    socket_.bind(ToUdp(board_.settings.peers), ec);
  }
  if (ec) {
    return Error{ErrorCode::kUnavailable, ToString(board_.settings.peers), 0,
                 "peers", "cannot bind: " + ec.message()};
  }
  asio::co_spawn(board_.executor, Receive(), asio::detached);
  asio::co_spawn(board_.executor, TickForever(), asio::detached);
  return Ok();
}

Task<bool> FleetAgent::JoinThrough(Endpoint contact) {
  Json::Value ask;
  ask["self"] = ToJson(table_.self());
  for (const std::uint64_t it : table_.bucket_digests()) {
    ask["digests"].append(std::to_string(it));
  }
  HttpRequest request;
  request.method = "POST";
  request.path = kComparePath;
  request.body = ToJsonText(ask);
  const Result<HttpResponse> answer =
      co_await peers_.Send(contact, std::move(request), kCompareTimeout);
  if (!answer) {
    co_return false;
  }
  const Result<Json::Value> value =
      ParseJson(answer.value().body, ToString(contact));
  if (!value) {
    co_return false;
  }
  JsonObject fields(value.value(), ToString(contact));
  const std::vector<Member> members = ReadMembers(fields, "members");
  if (!fields.Finish()) {
    co_return false;
  }
  for (const Member& it : members) {
    (void)table_.Merge(it, MergeSource::kState, board_.clock.Now());
  }
  Publish();
  co_return true;
}

Result<std::string> FleetAgent::OnCompare(const std::string& body) {
  const Result<Json::Value> value = ParseJson(body, "peer");
  if (!value) {
    return value.error();
  }
  JsonObject fields(value.value(), "peer");
  JsonObject self_fields = fields.Object("self");
  const Member asker = ReadMember(self_fields);
  const std::vector<std::string> digests =
      fields.Strings("digests", MemberTable::kBuckets, kMaxDigestBytes);
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  if (digests.size() != MemberTable::kBuckets) {
    return Error{ErrorCode::kInvalid, "peer", 0, "digests",
                 "must be one for each bucket"};
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
  (void)table_.Merge(asker, MergeSource::kGossip, board_.clock.Now());
  Publish();
  Json::Value answer;
  answer["members"] = ToJson(members);
  return ToJsonText(answer);
}

void FleetAgent::AnnounceTarget() {
  const MonoTime now = board_.clock.Now();
  const auto& report = board_.announcements.last();
  std::optional<AnnouncedTarget> target;
  if (report) {
    const bool is_ready = board_.announcements.IsReady(now) && !board_.leaving;
    target = AnnouncedTarget{
        board_.settings.service, board_.settings.target, report->slots,
        is_ready ? TargetState::kReady : TargetState::kLeaving};
  }
  if (target != table_.self().target) {
    table_.SetTarget(target, now);
    Publish();
  }
}

void FleetAgent::Leave() {
  AnnounceTarget();
  table_.Leave(board_.clock.Now());
  Publish();
  Greet(kLeaveGreetings);
}

const SpreadPlan& FleetAgent::Plan() {
  if (!plan_) {
    plan_.emplace(table_.Live(), RegionId());
  }
  return *plan_;
}

void FleetAgent::OnMemberChanged(const Member* before, const Member& after,
                                 MergeSource /*source*/) {
  view_is_stale_ = true;
  plan_.reset();
  if (IsLive(after)) {
    gone_.erase(after.vm);
  } else {
    gone_[after.vm] = board_.clock.Now() + kGreetGoneFor;
  }
  if (before == nullptr || before->state != after.state) {
    board_.log.Write(
        EventLine("member")
            .With("member", after.vm.str())
            .With("before", before == nullptr ? "-" : ToString(before->state))
            .With("state", ToString(after.state))
            .With("incarnation", static_cast<std::int64_t>(after.incarnation)));
  }
}

void FleetAgent::OnMemberForgotten(const Member& /*last*/) {
  view_is_stale_ = true;
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

Task<void> FleetAgent::TickForever() {
  while (socket_.is_open()) {
    Tick();
    co_await SleepFor(kTick);
  }
}

void FleetAgent::Tick() {
  const MonoTime now = board_.clock.Now();
  AnnounceTarget();
  table_.Expire(now);
  for (const DetectorAction& it : detector_.Tick(now, board_.random)) {
    Carry(it);
  }
  if (pacer_.Take(now, queue_.HasFresh())) {
    Greet(1);
  }
  GreetGone(now);
  for (auto it = errands_.begin(); it != errands_.end();) {
    it = it->second.until < now ? errands_.erase(it) : std::next(it);
  }
  Publish();
}

void FleetAgent::Carry(const DetectorAction& action) {
  if (const auto* probe = std::get_if<SendProbe>(&action)) {
    Send(probe->target, Kind::kPing, probe->probe, VmId());
  } else if (const auto* ask = std::get_if<SendIndirectProbe>(&action)) {
    Send(ask->via, Kind::kPingRequest, ask->probe, ask->target);
  } else if (const auto* pause = std::get_if<WasPaused>(&action)) {
    board_.log.Write(EventLine("paused").With("length_ms", pause->length));
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
  listener_.OnCompose(message);
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
  const Result<GossipMessage> message = ParseGossip(value.value());
  JsonObject fields(value.value(), "peer");
  const std::uint64_t kind = fields.Unsigned("t");
  const ProbeId probe = fields.Unsigned("n");
  const VmId to = fields.Name<VmId>("o");
  if (!message || !fields.Finish() || kind >= kKinds) {
    return;
  }
  if (to != board_.settings.vm) {
    // Meant for a VM that had this address before. An answer would keep that
    // one alive in the sender's table.
    return;
  }
  const MonoTime now = board_.clock.Now();
  const VmId from = message.value().from;
  const AbsorbedMessage absorbed = exchange_.Absorb(message.value(), now);
  listener_.OnMessage(message.value());
  switch (static_cast<Kind>(kind)) {
    case Kind::kPing:
      Send(from, Kind::kAck, probe, VmId());
      break;
    case Kind::kAck: {
      const auto errand = errands_.find(probe);
      if (errand != errands_.end()) {
        Send(errand->second.asker, Kind::kIndirectAck, errand->second.probe,
             VmId());
        errands_.erase(errand);
      } else {
        detector_.OnAck(probe, message.value().known_incarnation, now);
      }
      break;
    }
    case Kind::kPingRequest: {
      const ProbeId errand = next_errand_++;
      errands_[errand] = Errand{from, probe, now + kErrandTime};
      Send(fields.Name<VmId>("a"), Kind::kPing, errand, VmId());
      break;
    }
    case Kind::kIndirectAck:
      detector_.OnIndirectAck(probe, now);
      break;
    case Kind::kGreeting:
      break;
  }
  if (absorbed.compare_tables || table_.Find(from) == nullptr) {
    CompareWith(sender);
  }
  Publish();
}

void FleetAgent::CompareWith(const Endpoint& peer) {
  if (is_comparing_) {
    return;
  }
  is_comparing_ = true;
  asio::co_spawn(
      board_.executor,
      [](FleetAgent* self, Endpoint contact) -> Task<void> {
        co_await self->JoinThrough(contact);
        self->is_comparing_ = false;
      }(this, peer),
      asio::detached);
}

void FleetAgent::GreetGone(MonoTime now) {
  if (now < next_greeting_) {
    return;
  }
  next_greeting_ = now + kGreetGoneInterval;
  const double share =
      kGreetersOfGone / static_cast<double>(table_.live_count());
  for (auto it = gone_.begin(); it != gone_.end();) {
    if (it->second < now) {
      it = gone_.erase(it);
      continue;
    }
    if (board_.random.Unit() < share) {
      Send(it->first, Kind::kGreeting, 0, VmId());
    }
    ++it;
  }
}

void FleetAgent::Greet(int count) {
  std::vector<Member> members = table_.Live();
  for (int i = 0; i < count && !members.empty(); ++i) {
    const std::size_t chosen = board_.random.Below(members.size());
    if (members[chosen].vm == board_.settings.vm) {
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
      --i;
      continue;
    }
    SendTo(members[chosen].endpoint, members[chosen].vm, Kind::kGreeting, 0,
           VmId());
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void FleetAgent::Publish() {
  if (view_is_stale_) {
    board_.chooser.SetMembers(table_.Live(), board_.clock.Now());
    view_is_stale_ = false;
  }
}

}  // namespace cumin
