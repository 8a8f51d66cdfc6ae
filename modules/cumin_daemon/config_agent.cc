#include "cumin_daemon/config_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/compression.h"

namespace cumin {

namespace {

constexpr std::size_t kMinPeersForReadiness = 3;
/** Versions kept as bases for deltas. */
constexpr std::size_t kMaxRecentVersions = 4;
/** Limit of a decompressed delta from a peer. */
constexpr std::size_t kMaxDeltaBytes = std::size_t{16} << 20U;
/** How long the store holds a watch that has no change to report. A watch whose
    response is lost goes unnoticed for this long and the request's margin, so
    it stays well below the time allowed for a version to become active. */
constexpr Duration kWatchRequestWait = std::chrono::seconds(2);
/** Delay before the next watch request after a change, so that changes in quick
    succession are coalesced. Well below the time allowed for a version to
    become active on every daemon. */
constexpr Duration kChangeCoalesceDelay = std::chrono::milliseconds(250);
/** As kWatchRequestWait, where requests with keys depend on the age of what is
    known: watch and delay are a small part of the time in which a withdrawn key
    must not be served any more. */
constexpr Duration kDatingWatchWait = std::chrono::milliseconds(800);
constexpr Duration kWatchRoleCheckInterval = std::chrono::milliseconds(300);
constexpr Duration kAntiEntropyInterval = std::chrono::milliseconds(100);
constexpr Duration kPeerTimeout = std::chrono::seconds(1);
constexpr BackoffSettings kStoreBackoff{std::chrono::milliseconds(200),
                                        std::chrono::milliseconds(1500)};
/** How long the news of a store contact may take to reach a daemon by gossip.
 */
constexpr Duration kContactGossipDelay = std::chrono::milliseconds(1500);
/** Controls when further daemons of the region start to watch, depending on the
    time since the last store contact. Between two responses the store may be
    silent for a whole watch and the delay before the next one. */
constexpr FetcherSettings kFetcherSettings{
    kWatchRequestWait + kChangeCoalesceDelay + kContactGossipDelay,
    std::chrono::milliseconds(500), std::chrono::seconds(10)};

}  // namespace

ConfigAgent::ConfigAgent(DaemonContext& context, PeerClient& peers,
                         AsyncStore& store, const RouteSource& source)
    : context_(context),
      peers_(peers),
      store_(store),
      source_(source),
      rotation_(kFetcherSettings, context.random),
      anti_entropy_(AntiEntropySettings{}),
      readiness_(kMinPeersForReadiness),
      backoff_(kStoreBackoff),
      active_since_(context.clock.Now()) {}

void ConfigAgent::Start(FleetAgent& fleet) {
  fleet_ = &fleet;
  asio::co_spawn(context_.executor, RunWatchLoop(), asio::detached);
  asio::co_spawn(context_.executor, RunAntiEntropy(), asio::detached);
}

Task<bool> ConfigAgent::Fetch(ReadFreshness freshness) {
  const MonoTime sent_at = context_.clock.Now();
  const Result<StoreItem> item = co_await store_.Get(source_.key(), freshness);
  if (!item && item.error().code != ErrorCode::kNotFound) {
    context_.log.Write(
        EventLine("store-failed").With("error", Describe(item.error())));
    co_return false;
  }
  context_.last_store_contact = context_.clock.Now();
  if (!item) {
    co_return true;
  }
  CheckEra();
  watched_revision_ = std::max(watched_revision_, item.value().revision);
  ApplyFromStore(item.value().value, "store");
  if (freshness == ReadFreshness::kCurrent) {
    DateStoreVersion(sent_at);
  }
  co_return true;
}

Task<bool> ConfigAgent::OnPush(VmId from, VmId root, std::string body) {
  Result<bool> applied = ApplyDelta(body, "push");
  const Member* const peer = fleet_->Find(from);
  if (!applied && applied.error().code == ErrorCode::kConflict &&
      peer != nullptr) {
    applied = co_await PullFromPeer(peer->endpoint);
  }
  if (applied && applied.value()) {
    if (root == context_.settings.vm) {
      DistributeAsRoot();
    } else {
      PushToChildren(root, context_.settings.vm);
    }
  }
  co_return applied.has_value();
}

void ConfigAgent::OnVersionNotice(const VmId& from, std::uint64_t version) {
  NoteKnownVersion(version);
  VersionStamp theirs;
  theirs.version = version;
  // Contents are compared when they are pulled.
  (void)anti_entropy_.OnPeerVersion(from, theirs, ActiveStamp(),
                                    context_.clock.Now(), context_.random);
}

void ConfigAgent::OnWatchRequest(const VmId& from) {
  context_.log.Write(EventLine("watch-taken-over").With("peer", from.str()));
  rotation_.OnWatchRequested(context_.clock.Now());
}

std::string ConfigAgent::OnPull(std::uint64_t base_version) {
  if (!context_.routes || context_.routes->version() <= base_version) {
    return "";
  }
  return DeltaFrom(base_version);
}

const std::string& ConfigAgent::DeltaFrom(std::uint64_t version) {
  const RouteTable* base = nullptr;
  for (const RefPtr<const RouteTable>& it : recent_versions_) {
    if (it->version() == version) {
      base = it.get();
    }
  }
  std::string& bytes = delta_cache_[base == nullptr ? 0 : version];
  if (bytes.empty()) {
    bytes = Compress(EncodeRouteDelta(MakeRouteDelta(base, *context_.routes)));
  }
  return bytes;
}

std::uint64_t ConfigAgent::ActiveVersion() const {
  return context_.routes ? context_.routes->version() : 0;
}

VersionStamp ConfigAgent::ActiveStamp() const {
  VersionStamp stamp;
  stamp.version = ActiveVersion();
  return stamp;
}

void ConfigAgent::OnCompose(GossipMessage& message) {
  message.in_force = ActiveStamp();
  message.store_quiet = TimeSinceStoreContact();
}

void ConfigAgent::OnMessage(const GossipMessage& message) {
  const MonoTime now = context_.clock.Now();
  NoteKnownVersion(message.in_force.version);
  readiness_.RecordPeerVersion(message.from, message.in_force.version);
  const Result<void> noted = anti_entropy_.OnPeerVersion(
      message.from, message.in_force, ActiveStamp(), now, context_.random);
  if (!noted) {
    context_.log.Write(
        EventLine("version-conflict").With("error", Describe(noted.error())));
  }
  const Member* const peer = fleet_->Find(message.from);
  if (peer != nullptr && peer->region == context_.settings.region) {
    context_.last_store_contact =
        std::max(context_.last_store_contact, now - message.store_quiet);
  }
  UpdateReadiness();
}

Duration ConfigAgent::TimeSinceStoreContact() const {
  return std::max<Duration>(Duration::zero(),
                            context_.clock.Now() - context_.last_store_contact);
}

bool ConfigAgent::DatesKeys() const {
  return context_.freshness.limit() > Duration::zero() && context_.routes &&
         !context_.routes->customers().empty();
}

Duration ConfigAgent::WatchWait() const {
  return DatesKeys() ? kDatingWatchWait : kWatchRequestWait;
}

void ConfigAgent::CheckEra() {
  const std::uint64_t era = store_.era();
  if (era <= era_) {
    return;
  }
  if (era_ != 0) {
    context_.log.Write(
        EventLine("store-era").With("era", static_cast<std::int64_t>(era)));
    watched_revision_ = 0;
    store_version_ = 0;
    has_orders_ = false;
  }
  era_ = era;
}

void ConfigAgent::DateStoreVersion(MonoTime as_of) {
  // A store that has come back from a copy may not have the newest version yet.
  const bool is_newest = store_version_ >= context_.newest_known_version;
  if (store_version_ == 0 || !is_newest) {
    return;
  }
  (void)context_.freshness.Learn(
      DatedVersion{era_, watched_revision_, store_version_, as_of},
      ActiveVersion());
}

Task<void> ConfigAgent::DateConfiguration() {
  const auto& known = context_.freshness.latest();
  if (watched_revision_ == 0 && known && known->era >= era_) {
    watched_revision_ = known->revision;
    store_version_ = known->version;
  }
  // Without a revision the whole document would have to be read; the daemons
  // that watch the store do that.
  if (watched_revision_ != 0) {
    (void)co_await WatchOnce(Duration::zero());
  }
}

Task<void> ConfigAgent::FetchOrders() {
  const Result<StoreItems> orders =
      co_await store_.List(source_.rollout_prefix(), ReadFreshness::kCurrent);
  if (!orders) {
    context_.log.Write(
        EventLine("orders-not-read").With("error", Describe(orders.error())));
    co_return;
  }
  CheckEra();
  has_orders_ = true;
  for (const StoreItem& it : orders.value().items) {
    OnOrderItem(it);
  }
}

void ConfigAgent::OnOrderItem(const StoreItem& item) {
  Result<RolloutOrder> order = source_.ParseRollout(item.value);
  if (!order) {
    context_.log.Write(EventLine("order-refused")
                           .With("key", item.key)
                           .With("error", Describe(order.error())));
    return;
  }
  order.value().era = era_;
  order.value().revision = item.revision;
  if (order_listener_ != nullptr) {
    order_listener_->OnOrder(order.value());
  }
}

Task<void> ConfigAgent::RunWatchLoop() {
  while (true) {
    is_watching_ = ShouldWatchStore();
    if (!is_watching_) {
      co_await SleepFor(kWatchRoleCheckInterval);
      continue;
    }
    if (context_.settings.rollouts && !has_orders_) {
      co_await FetchOrders();
    }
    const bool succeeded = co_await WatchOnce(WatchWait());
    if (succeeded) {
      backoff_.Reset();
      co_await SleepFor(kChangeCoalesceDelay);
    } else {
      asio::co_spawn(context_.executor, RequestWatchFromSuccessor(),
                     asio::detached);
      co_await SleepFor(backoff_.Next(context_.random));
    }
  }
}

Task<bool> ConfigAgent::WatchOnce(Duration wait) {
  if (watched_revision_ == 0) {
    const bool succeeded = co_await Fetch(ReadFreshness::kCurrent);
    if (!succeeded) {
      co_return false;
    }
    if (watched_revision_ == 0) {
      watched_revision_ = 1;
    }
    co_return true;
  }
  const std::string prefix =
      context_.settings.rollouts ? source_.watch_prefix() : source_.key();
  const MonoTime sent_at = context_.clock.Now();
  const Result<StoreItems> changes =
      co_await store_.Watch(prefix, watched_revision_, wait);
  if (!changes) {
    context_.log.Write(
        EventLine("watch-ended").With("error", Describe(changes.error())));
    const bool is_history_compacted =
        changes.error().code == ErrorCode::kConflict;
    if (!is_history_compacted) {
      co_return false;
    }
    // The history had the orders, too.
    has_orders_ = false;
    watched_revision_ = 0;
    co_return co_await Fetch(ReadFreshness::kCurrent);
  }
  const MonoTime now = context_.clock.Now();
  context_.last_store_contact = now;
  const std::uint64_t era_before = era_;
  CheckEra();
  if (era_ != era_before && era_before != 0) {
    // The watch began at a revision that means something else now.
    co_return true;
  }
  watched_revision_ = std::max(watched_revision_, changes.value().as_of);
  const StoreItem* newest = nullptr;
  for (const StoreItem& it : changes.value().items) {
    if (it.revision == 0) {
      continue;
    }
    if (it.key == source_.key()) {
      newest = &it;
    } else if (it.key.rfind(source_.rollout_prefix(), 0) == 0) {
      OnOrderItem(it);
    }
  }
  if (newest != nullptr && ApplyFromStore(newest->value, "watch")) {
    StartDistribution();
  }
  // The store answers a watch without changes when its time is over.
  const bool has_waited =
      changes.value().items.empty() && now - sent_at >= wait;
  DateStoreVersion(has_waited ? sent_at + wait : sent_at);
  co_return true;
}

Task<void> ConfigAgent::RunAntiEntropy() {
  while (true) {
    co_await SleepFor(kAntiEntropyInterval);
    readiness_.SetKnownPeers(fleet_->live_count() - 1);
    UpdateReadiness();
    const std::optional<cumin::PullFrom> pull =
        anti_entropy_.Tick(ActiveStamp(), context_.clock.Now());
    if (!pull) {
      continue;
    }
    const Member* const peer = fleet_->Find(pull->peer);
    bool succeeded = false;
    if (peer != nullptr) {
      const bool is_local = peer->region == context_.settings.region;
      succeeded = co_await PullFromPeer(peer->endpoint);
      if (succeeded && !is_local) {
        PushToChildren(context_.settings.vm, context_.settings.vm);
      }
    }
    anti_entropy_.OnPullEnd(succeeded, context_.clock.Now(), context_.random);
  }
}

Task<bool> ConfigAgent::PullFromPeer(Endpoint peer) {
  HttpRequest request;
  request.path = kPullPath;
  request.query = std::to_string(ActiveVersion());
  const Result<HttpResponse> answer =
      co_await peers_.Send(peer, std::move(request), kPeerTimeout);
  if (!answer || answer.value().body.empty()) {
    co_return false;
  }
  const Result<bool> applied = ApplyDelta(answer.value().body, "pull");
  co_return applied&& applied.value();
}

bool ConfigAgent::ShouldWatchStore() {
  const SpreadPlan& plan = fleet_->Plan();
  const int rank = plan.FetcherRank(context_.settings.vm);
  const auto members =
      static_cast<int>(plan.FetcherRanking(context_.settings.region).size());
  return rank < 0 ||
         rotation_.ShouldWatchStore(rank, members, TimeSinceStoreContact(),
                                    context_.clock.Now());
}

bool ConfigAgent::ApplyFromStore(const std::string& text, const char* source) {
  const Result<RefPtr<const RouteTable>> table = source_.Parse(text);
  if (!table) {
    context_.log.Write(
        EventLine("config-refused").With("error", Describe(table.error())));
    store_version_ = 0;
    return false;
  }
  for (const std::string& it : table.value()->remarks()) {
    context_.log.Write(EventLine("config-remark").With("detail", it));
  }
  store_version_ = table.value()->version();
  readiness_.RecordStoreVersion(table.value()->version());
  return Apply(table.value(), source);
}

bool ConfigAgent::Apply(const RefPtr<const RouteTable>& table,
                        const char* source) {
  if (context_.routes && table->version() <= context_.routes->version()) {
    return false;
  }
  context_.log.Write(
      EventLine("config-in-force")
          .With("version", static_cast<std::int64_t>(table->version()))
          .With("before", static_cast<std::int64_t>(ActiveVersion()))
          .With("routes", static_cast<std::int64_t>(table->routes().size()))
          .With("source", source));
  NoteKnownVersion(table->version());
  context_.routes = table;
  delta_cache_.clear();
  active_since_ = context_.clock.Now();
  recent_versions_.push_back(table);
  if (recent_versions_.size() > kMaxRecentVersions) {
    recent_versions_.pop_front();
  }
  context_.freshness.OnActiveVersion(table->version());
  UpdateReadiness();
  if (on_change_) {
    on_change_();
  }
  return true;
}

Result<bool> ConfigAgent::ApplyDelta(const std::string& body,
                                     const char* source) {
  const Result<std::string> text = Decompress(body, kMaxDeltaBytes, source);
  if (!text) {
    return text.error();
  }
  const Result<RouteDelta> delta = DecodeRouteDelta(text.value(), source);
  if (!delta) {
    return delta.error();
  }
  if (delta.value().to <= ActiveVersion()) {
    return false;
  }
  const Result<RefPtr<const RouteTable>> table =
      ApplyRouteDelta(context_.routes.get(), delta.value());
  if (!table) {
    if (table.error().code != ErrorCode::kConflict) {
      context_.log.Write(
          EventLine("config-refused").With("error", Describe(table.error())));
    }
    return table.error();
  }
  return Apply(table.value(), source);
}

void ConfigAgent::NoteKnownVersion(std::uint64_t version) {
  context_.newest_known_version =
      std::max(context_.newest_known_version, version);
}

void ConfigAgent::StartDistribution() {
  const std::vector<VmId>& ranking =
      fleet_->Plan().FetcherRanking(context_.settings.region);
  if (ranking.empty() || ranking.front() == context_.settings.vm) {
    DistributeAsRoot();
    return;
  }
  asio::co_spawn(context_.executor, HandOffToFirstFetcher(ranking.front()),
                 asio::detached);
}

void ConfigAgent::DistributeAsRoot() {
  PushToChildren(context_.settings.vm, context_.settings.vm);
  const SpreadPlan& plan = fleet_->Plan();
  for (const RegionId& region : plan.Regions()) {
    if (region == context_.settings.region) {
      continue;
    }
    // Notify all of them: one may have failed without being detected yet.
    for (const VmId& it : plan.Fetchers(region)) {
      asio::co_spawn(context_.executor, SendVersionNotice(it), asio::detached);
    }
  }
}

Task<Result<HttpResponse>> ConfigAgent::SendTo(VmId vm, const char* path,
                                               std::string query,
                                               std::string body) {
  const Member* const member = fleet_->Find(vm);
  if (member == nullptr) {
    co_return Error{ErrorCode::kUnavailable, vm.str(), 0, "",
                    "is no longer in the member table"};
  }
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.query = std::move(query);
  request.body = std::move(body);
  co_return co_await peers_.Send(member->endpoint, std::move(request),
                                 kPeerTimeout);
}

Task<void> ConfigAgent::SendVersionNotice(VmId peer) {
  std::string query =
      context_.settings.vm.str() + "&" + std::to_string(ActiveVersion());
  // A peer that misses the notice learns of the version by gossip.
  (void)co_await SendTo(peer, kVersionNoticePath, std::move(query), "");
}

Task<void> ConfigAgent::RequestWatchFromSuccessor() {
  const SpreadPlan& plan = fleet_->Plan();
  const std::vector<VmId>& ranking =
      plan.FetcherRanking(context_.settings.region);
  const int next = FetcherRotation::Successor(
      plan.FetcherRank(context_.settings.vm), static_cast<int>(ranking.size()));
  if (next < 0) {
    co_return;
  }
  const VmId successor = ranking[static_cast<std::size_t>(next)];
  const Result<HttpResponse> answer = co_await SendTo(
      successor, kWatchRequestPath, context_.settings.vm.str(), "");
  if (!answer) {
    context_.log.Write(EventLine("watch-not-handed-over")
                           .With("peer", successor.str())
                           .With("error", Describe(answer.error())));
  }
}

Task<void> ConfigAgent::HandOffToFirstFetcher(VmId first) {
  // One daemon distributes each version; the other watchers only ensure that
  // it has received it.
  const bool was_delivered = co_await Push(first, first);
  if (!was_delivered) {
    DistributeAsRoot();
  }
}

void ConfigAgent::PushToChildren(const VmId& root, const VmId& node) {
  for (const VmId& it : fleet_->Plan().Children(ActiveVersion(), root, node)) {
    if (it != context_.settings.vm) {
      asio::co_spawn(context_.executor, PushTo(it, root), asio::detached);
    }
  }
}

Task<void> ConfigAgent::PushTo(VmId child, VmId root) {
  const bool was_delivered = co_await Push(child, root);
  if (!was_delivered) {
    // Push to the failed child's own children directly; otherwise they would
    // wait for anti-entropy.
    PushToChildren(root, child);
  }
}

Task<bool> ConfigAgent::Push(VmId child, VmId root) {
  if (!context_.routes) {
    co_return false;
  }
  const std::uint64_t before =
      recent_versions_.size() > 1
          ? recent_versions_[recent_versions_.size() - 2]->version()
          : 0;
  std::string query = context_.settings.vm.str() + "&" + root.str();
  std::string body = DeltaFrom(before);
  const MonoTime sent_at = context_.clock.Now();
  const std::uint64_t version = ActiveVersion();
  const auto n = static_cast<std::int64_t>(body.size());
  const Result<HttpResponse> answer =
      co_await SendTo(child, kPushPath, std::move(query), std::move(body));
  context_.metrics.CountPush(answer ? "taken" : "failed");
  if (!answer) {
    context_.log.Write(EventLine("push-failed")
                           .With("peer", child.str())
                           .With("version", static_cast<std::int64_t>(version))
                           .With("bytes", n)
                           .With("after_ms", context_.clock.Now() - sent_at)
                           .With("error", Describe(answer.error())));
  }
  co_return answer.has_value();
}

void ConfigAgent::UpdateReadiness() {
  if (!context_.ready && readiness_.IsReady(ActiveVersion())) {
    context_.ready = true;
    context_.log.Write(EventLine("ready").With(
        "version", static_cast<std::int64_t>(ActiveVersion())));
  }
}

}  // namespace cumin
