#include "cumin_daemon/config_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/compression.h"

namespace cumin {

namespace {

constexpr std::size_t kPeersToBeReady = 3;
/** Versions kept to make deltas from. */
constexpr std::size_t kRecentVersions = 4;
/** Of a change between daemons, as text. */
constexpr std::size_t kMaxDeltaBytes = std::size_t{16} << 20U;
constexpr Duration kWatchLength = std::chrono::seconds(10);
/** Changes in quick succession are taken together: the store is asked again
    this long after a change. Well below the time for a version to be in force
    everywhere. */
constexpr Duration kCoalesce = std::chrono::milliseconds(250);
constexpr Duration kDutyCheck = std::chrono::milliseconds(300);
constexpr Duration kRepairTick = std::chrono::milliseconds(100);
constexpr Duration kPeerTimeout = std::chrono::seconds(1);
constexpr BackoffSettings kStoreBackoff{std::chrono::milliseconds(200),
                                        std::chrono::milliseconds(1500)};
/** How long after the last word of the store others of the region watch it. */
constexpr FetcherSettings kFetchers{std::chrono::milliseconds(1500),
                                    std::chrono::milliseconds(500),
                                    std::chrono::seconds(10)};

}  // namespace

ConfigAgent::ConfigAgent(DaemonContext& board, PeerClient& peers,
                         AsyncStore& store, const RouteSource& source)
    : board_(board),
      peers_(peers),
      store_(store),
      source_(source),
      rotation_(kFetchers, board.random),
      anti_entropy_(AntiEntropySettings{}),
      readiness_(kPeersToBeReady),
      backoff_(kStoreBackoff),
      in_force_since_(board.clock.Now()) {}

void ConfigAgent::Start(FleetAgent& fleet) {
  fleet_ = &fleet;
  asio::co_spawn(board_.executor, WatchForever(), asio::detached);
  asio::co_spawn(board_.executor, RepairForever(), asio::detached);
}

Task<bool> ConfigAgent::Fetch(ReadFreshness freshness) {
  const Result<StoreItem> item = co_await store_.Get(source_.key(), freshness);
  if (!item && item.error().code != ErrorCode::kNotFound) {
    board_.log.Write(
        EventLine("store-failed").With("error", Describe(item.error())));
    co_return false;
  }
  if (!item) {
    co_return true;
  }
  watched_revision_ = std::max(watched_revision_, item.value().revision);
  TakeFromStore(item.value().value, "store");
  co_return true;
}

Task<bool> ConfigAgent::OnPush(VmId from, VmId root, std::string body) {
  Result<bool> taken = TakeDelta(body, "push");
  const Member* const peer = fleet_->Find(from);
  if (!taken && taken.error().code == ErrorCode::kConflict && peer != nullptr) {
    taken = co_await PullFrom(peer->endpoint);
  }
  if (taken && taken.value()) {
    if (root == board_.settings.vm) {
      SpreadAsRoot();
    } else {
      PassOn(root, board_.settings.vm);
    }
  }
  co_return taken.has_value();
}

void ConfigAgent::OnTold(const VmId& from, std::uint64_t version) {
  HearOf(version);
  VersionStamp theirs;
  theirs.version = version;
  // The contents are compared when they are pulled.
  (void)anti_entropy_.OnPeerVersion(from, theirs, Ours(), board_.clock.Now(),
                                    board_.random);
}

void ConfigAgent::OnAskedToWatch(const VmId& from) {
  board_.log.Write(EventLine("watch-taken-over").With("peer", from.str()));
  rotation_.OnAsked(board_.clock.Now());
}

std::string ConfigAgent::OnPull(std::uint64_t have) {
  if (!board_.routes || board_.routes->version() <= have) {
    return "";
  }
  return DeltaFrom(have);
}

const std::string& ConfigAgent::DeltaFrom(std::uint64_t version) {
  const RouteTable* base = nullptr;
  for (const RefPtr<const RouteTable>& it : recent_) {
    if (it->version() == version) {
      base = it.get();
    }
  }
  std::string& bytes = deltas_[base == nullptr ? 0 : version];
  if (bytes.empty()) {
    bytes = Compress(EncodeRouteDelta(MakeRouteDelta(base, *board_.routes)));
  }
  return bytes;
}

std::uint64_t ConfigAgent::InForce() const {
  return board_.routes ? board_.routes->version() : 0;
}

VersionStamp ConfigAgent::Ours() const {
  VersionStamp ours;
  ours.version = InForce();
  return ours;
}

void ConfigAgent::OnCompose(GossipMessage& message) {
  message.in_force = Ours();
  message.store_quiet = StoreQuiet();
}

void ConfigAgent::OnMessage(const GossipMessage& message) {
  const MonoTime now = board_.clock.Now();
  HearOf(message.in_force.version);
  readiness_.HearPeer(message.from, message.in_force.version);
  const Result<void> noted = anti_entropy_.OnPeerVersion(
      message.from, message.in_force, Ours(), now, board_.random);
  if (!noted) {
    board_.log.Write(
        EventLine("version-conflict").With("error", Describe(noted.error())));
  }
  const Member* const peer = fleet_->Find(message.from);
  if (peer != nullptr && peer->region == board_.settings.region) {
    board_.store_heard =
        std::max(board_.store_heard, now - message.store_quiet);
  }
  CheckReady();
}

Duration ConfigAgent::StoreQuiet() const {
  return std::max<Duration>(Duration::zero(),
                            board_.clock.Now() - board_.store_heard);
}

Task<void> ConfigAgent::WatchForever() {
  while (true) {
    if (!IsOnDuty()) {
      co_await SleepFor(kDutyCheck);
      continue;
    }
    const bool was_answered = co_await WatchOnce();
    if (was_answered) {
      backoff_.Reset();
      co_await SleepFor(kCoalesce);
    } else {
      board_.store_heard = std::min(board_.store_heard, board_.clock.Now());
      asio::co_spawn(board_.executor, AskSuccessorToWatch(), asio::detached);
      co_await SleepFor(backoff_.Next(board_.random));
    }
  }
}

Task<bool> ConfigAgent::WatchOnce() {
  if (watched_revision_ == 0) {
    const bool was_answered = co_await Fetch(ReadFreshness::kCurrent);
    if (!was_answered) {
      co_return false;
    }
    if (watched_revision_ == 0) {
      watched_revision_ = 1;
    }
    co_return true;
  }
  board_.store_heard = board_.clock.Now() + kWatchLength;
  const Result<StoreItems> changes =
      co_await store_.Watch(source_.key(), watched_revision_, kWatchLength);
  if (!changes) {
    board_.log.Write(
        EventLine("watch-ended").With("error", Describe(changes.error())));
    const bool history_is_gone = changes.error().code == ErrorCode::kConflict;
    if (!history_is_gone) {
      co_return false;
    }
    co_return co_await Fetch(ReadFreshness::kCurrent);
  }
  watched_revision_ = std::max(watched_revision_, changes.value().as_of);
  const StoreItem* newest = nullptr;
  for (const StoreItem& it : changes.value().items) {
    if (it.key == source_.key() && it.revision != 0) {
      newest = &it;
    }
  }
  if (newest != nullptr && TakeFromStore(newest->value, "watch")) {
    SpreadFromHere();
  }
  co_return true;
}

Task<void> ConfigAgent::RepairForever() {
  while (true) {
    co_await SleepFor(kRepairTick);
    readiness_.SetKnownPeers(fleet_->live_count() - 1);
    CheckReady();
    const std::optional<cumin::PullFrom> pull =
        anti_entropy_.Tick(Ours(), board_.clock.Now());
    if (!pull) {
      continue;
    }
    const Member* const peer = fleet_->Find(pull->peer);
    bool succeeded = false;
    if (peer != nullptr) {
      const bool is_local = peer->region == board_.settings.region;
      succeeded = co_await PullFrom(peer->endpoint);
      if (succeeded && !is_local) {
        PassOn(board_.settings.vm, board_.settings.vm);
      }
    }
    anti_entropy_.OnPullEnd(succeeded, board_.clock.Now(), board_.random);
  }
}

Task<bool> ConfigAgent::PullFrom(Endpoint peer) {
  HttpRequest request;
  request.path = kPullPath;
  request.query = std::to_string(InForce());
  const Result<HttpResponse> answer =
      co_await peers_.Send(peer, std::move(request), kPeerTimeout);
  if (!answer || answer.value().body.empty()) {
    co_return false;
  }
  const Result<bool> taken = TakeDelta(answer.value().body, "pull");
  co_return taken&& taken.value();
}

bool ConfigAgent::IsOnDuty() {
  const SpreadPlan& plan = fleet_->Plan();
  const int rank = plan.FetcherRank(board_.settings.vm);
  const auto members =
      static_cast<int>(plan.FetcherRanking(board_.settings.region).size());
  return rank < 0 ||
         rotation_.IsOnDuty(rank, members, StoreQuiet(), board_.clock.Now());
}

bool ConfigAgent::TakeFromStore(const std::string& text, const char* source) {
  const Result<RefPtr<const RouteTable>> table = source_.Parse(text);
  if (!table) {
    board_.log.Write(
        EventLine("config-refused").With("error", Describe(table.error())));
    return false;
  }
  readiness_.HearStore(table.value()->version());
  return Take(table.value(), source);
}

bool ConfigAgent::Take(const RefPtr<const RouteTable>& table,
                       const char* source) {
  if (board_.routes && table->version() <= board_.routes->version()) {
    return false;
  }
  board_.log.Write(
      EventLine("config-in-force")
          .With("version", static_cast<std::int64_t>(table->version()))
          .With("before", static_cast<std::int64_t>(InForce()))
          .With("routes", static_cast<std::int64_t>(table->routes().size()))
          .With("source", source));
  HearOf(table->version());
  board_.routes = table;
  deltas_.clear();
  in_force_since_ = board_.clock.Now();
  recent_.push_back(table);
  if (recent_.size() > kRecentVersions) {
    recent_.pop_front();
  }
  CheckReady();
  if (on_change_) {
    on_change_();
  }
  return true;
}

Result<bool> ConfigAgent::TakeDelta(const std::string& body,
                                    const char* source) {
  const Result<std::string> text = Decompress(body, kMaxDeltaBytes, source);
  if (!text) {
    return text.error();
  }
  const Result<RouteDelta> delta = DecodeRouteDelta(text.value(), source);
  if (!delta) {
    return delta.error();
  }
  if (delta.value().to <= InForce()) {
    return false;
  }
  const Result<RefPtr<const RouteTable>> table =
      ApplyRouteDelta(board_.routes.get(), delta.value());
  if (!table) {
    if (table.error().code != ErrorCode::kConflict) {
      board_.log.Write(
          EventLine("config-refused").With("error", Describe(table.error())));
    }
    return table.error();
  }
  return Take(table.value(), source);
}

void ConfigAgent::HearOf(std::uint64_t version) {
  board_.newest_known_version = std::max(board_.newest_known_version, version);
}

void ConfigAgent::SpreadFromHere() {
  const std::vector<VmId>& ranking =
      fleet_->Plan().FetcherRanking(board_.settings.region);
  if (ranking.empty() || ranking.front() == board_.settings.vm) {
    SpreadAsRoot();
    return;
  }
  asio::co_spawn(board_.executor, HandToFirstFetcher(ranking.front()),
                 asio::detached);
}

void ConfigAgent::SpreadAsRoot() {
  PassOn(board_.settings.vm, board_.settings.vm);
  const SpreadPlan& plan = fleet_->Plan();
  for (const RegionId& region : plan.Regions()) {
    if (region == board_.settings.region) {
      continue;
    }
    // All of them at once: one may be dead and not known to be.
    for (const VmId& it : plan.Fetchers(region)) {
      asio::co_spawn(board_.executor, Tell(it), asio::detached);
    }
  }
}

Task<Result<HttpResponse>> ConfigAgent::SendTo(VmId vm, const char* path,
                                               std::string query,
                                               std::string body) {
  const Member* const member = fleet_->Find(vm);
  if (member == nullptr) {
    co_return Error{ErrorCode::kUnavailable, vm.str(), 0, "",
                    "is no member any more"};
  }
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.query = std::move(query);
  request.body = std::move(body);
  co_return co_await peers_.Send(member->endpoint, std::move(request),
                                 kPeerTimeout);
}

Task<void> ConfigAgent::Tell(VmId peer) {
  std::string query =
      board_.settings.vm.str() + "&" + std::to_string(InForce());
  // Whoever is not told hears of it by gossip.
  (void)co_await SendTo(peer, kTellPath, std::move(query), "");
}

Task<void> ConfigAgent::AskSuccessorToWatch() {
  const SpreadPlan& plan = fleet_->Plan();
  const std::vector<VmId>& ranking =
      plan.FetcherRanking(board_.settings.region);
  const int next = FetcherRotation::Successor(
      plan.FetcherRank(board_.settings.vm), static_cast<int>(ranking.size()));
  if (next < 0) {
    co_return;
  }
  const VmId successor = ranking[static_cast<std::size_t>(next)];
  const Result<HttpResponse> answer =
      co_await SendTo(successor, kWatchPath, board_.settings.vm.str(), "");
  if (!answer) {
    board_.log.Write(EventLine("watch-not-handed-over")
                         .With("peer", successor.str())
                         .With("error", Describe(answer.error())));
  }
}

Task<void> ConfigAgent::HandToFirstFetcher(VmId first) {
  // One daemon spreads each version; the others only make sure that it has it.
  const bool was_taken = co_await Push(first, first);
  if (!was_taken) {
    SpreadAsRoot();
  }
}

void ConfigAgent::PassOn(const VmId& root, const VmId& node) {
  for (const VmId& it : fleet_->Plan().Children(InForce(), root, node)) {
    if (it != board_.settings.vm) {
      asio::co_spawn(board_.executor, PushTo(it, root), asio::detached);
    }
  }
}

Task<void> ConfigAgent::PushTo(VmId child, VmId root) {
  const bool was_taken = co_await Push(child, root);
  if (!was_taken) {
    // Its own children would wait for anti-entropy otherwise.
    PassOn(root, child);
  }
}

Task<bool> ConfigAgent::Push(VmId child, VmId root) {
  if (!board_.routes) {
    co_return false;
  }
  const std::uint64_t before =
      recent_.size() > 1 ? recent_[recent_.size() - 2]->version() : 0;
  std::string query = board_.settings.vm.str() + "&" + root.str();
  std::string body = DeltaFrom(before);
  const MonoTime sent_at = board_.clock.Now();
  const std::uint64_t version = InForce();
  const auto n = static_cast<std::int64_t>(body.size());
  const Result<HttpResponse> answer =
      co_await SendTo(child, kPushPath, std::move(query), std::move(body));
  board_.metrics.CountPush(answer ? "taken" : "failed");
  if (!answer) {
    board_.log.Write(EventLine("push-failed")
                         .With("peer", child.str())
                         .With("version", static_cast<std::int64_t>(version))
                         .With("bytes", n)
                         .With("after_ms", board_.clock.Now() - sent_at)
                         .With("error", Describe(answer.error())));
  }
  co_return answer.has_value();
}

void ConfigAgent::CheckReady() {
  if (!board_.ready && readiness_.IsReady(InForce())) {
    board_.ready = true;
    board_.log.Write(EventLine("ready").With(
        "version", static_cast<std::int64_t>(InForce())));
  }
}

}  // namespace cumin
