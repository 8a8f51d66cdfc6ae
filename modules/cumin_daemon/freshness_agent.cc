#include "cumin_daemon/freshness_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/json_object.h"

namespace cumin {

namespace {

constexpr char kTopic[] = "age";
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kAskInterval = std::chrono::milliseconds(700);
/** Interval while what is known is old. */
constexpr Duration kStaleAskInterval = std::chrono::milliseconds(250);
/** Age at which other daemons are asked, too. Well above the age at a daemon
    that asks a watcher in each interval. */
constexpr Duration kStaleAge = std::chrono::milliseconds(2400);
/** Age at which the store is asked directly, and the interval. */
constexpr Duration kStoreAskAge = std::chrono::milliseconds(3000);
constexpr Duration kStoreAskInterval = std::chrono::milliseconds(1000);
/** A question without an answer is forgotten after this time. */
constexpr Duration kAnswerLifetime = std::chrono::seconds(3);
/** Daemons of the region's ranking that are likely to watch the store. */
constexpr std::size_t kLikelyWatchers = 6;
constexpr std::size_t kMaxNameBytes = 64;

/** @returns the age in whole milliseconds, rounded up */
std::int64_t AgeMillis(Duration age) { return ToMillis(age) + 1; }

}  // namespace

FreshnessAgent::FreshnessAgent(DaemonContext& context, FleetAgent& fleet,
                               ConfigAgent& config, RolloutExchange& rollouts)
    : context_(context), fleet_(fleet), config_(config), rollouts_(rollouts) {}

void FreshnessAgent::Start() {
  fleet_.AddNoteHandler(kTopic, *this);
  asio::co_spawn(context_.executor, Run(), asio::detached);
}

bool FreshnessAgent::IsNeeded() const {
  return context_.settings.rollouts || config_.DatesKeys();
}

Task<void> FreshnessAgent::Run() {
  while (true) {
    co_await SleepFor(kCheckInterval);
    const MonoTime now = context_.clock.Now();
    if (!IsNeeded() || now < next_ask_) {
      continue;
    }
    Ask();
    const std::optional<Duration> age = context_.freshness.Age(now);
    const bool needs_store = config_.DatesKeys() && now >= next_store_ask_ &&
                             (!age || *age >= kStoreAskAge);
    if (needs_store) {
      // Jitter, so that restarted daemons do not ask at the same moment.
      next_store_ask_ =
          now + kStoreAskInterval +
          std::chrono::milliseconds(context_.random.Below(
              static_cast<std::uint64_t>(ToMillis(kStoreAskInterval))));
      asio::co_spawn(context_.executor, config_.DateConfiguration(),
                     asio::detached);
    }
  }
}

void FreshnessAgent::Ask() {
  const MonoTime now = context_.clock.Now();
  const std::optional<Duration> age = context_.freshness.Age(now);
  const bool is_stale = config_.DatesKeys() && (!age || *age >= kStaleAge);
  next_ask_ = now + (is_stale ? kStaleAskInterval : kAskInterval);
  for (auto it = questions_.begin(); it != questions_.end();) {
    it = now - it->second >= kAnswerLifetime ? questions_.erase(it)
                                             : std::next(it);
  }
  if (config_.is_watching() && !is_stale) {
    return;
  }
  for (const VmId& it : PeersToAsk(is_stale)) {
    AskPeer(it);
  }
}

std::vector<VmId> FreshnessAgent::PeersToAsk(bool is_stale) {
  std::vector<VmId> peers;
  const auto add = [&](const VmId& vm) {
    if (!vm.empty() && vm != context_.settings.vm &&
        std::find(peers.begin(), peers.end(), vm) == peers.end()) {
      peers.push_back(vm);
    }
  };
  add(source_);
  const std::vector<VmId>& ranking =
      fleet_.Plan().FetcherRanking(context_.settings.region);
  const std::size_t likely =
      std::min(ranking.size(),
               is_stale ? kLikelyWatchers : std::size_t{SpreadPlan::kFetchers});
  if (likely > 0 && (peers.empty() || is_stale)) {
    add(ranking[context_.random.Below(likely)]);
  }
  if (is_stale) {
    const std::vector<Member> live = fleet_.Live();
    if (!live.empty()) {
      add(live[context_.random.Below(live.size())].vm);
    }
  }
  return peers;
}

void FreshnessAgent::AskPeer(const VmId& peer) {
  Json::Value body;
  body["q"] = Json::UInt64{next_question_};
  questions_[next_question_] = context_.clock.Now();
  next_question_ += 1;
  fleet_.SendNote(peer, kTopic, std::move(body));
}

void FreshnessAgent::OnNote(const VmId& from, const Json::Value& body) {
  if (body.isMember("q")) {
    Answer(from, body);
  } else {
    OnAnswer(from, body);
  }
}

void FreshnessAgent::Answer(const VmId& from, const Json::Value& question) {
  Json::Value body;
  body["n"] = question["q"];
  const std::optional<DatedVersion>& known = context_.freshness.latest();
  if (known) {
    body["e"] = Json::UInt64{known->era};
    body["r"] = Json::UInt64{known->revision};
    body["v"] = Json::UInt64{known->version};
    body["a"] = Json::Int64{AgeMillis(context_.clock.Now() - known->as_of)};
    // The one that this daemon heard of it from is nearer to the store.
    body["s"] = config_.is_watching() || source_.empty()
                    ? context_.settings.vm.str()
                    : source_.str();
  }
  if (context_.settings.rollouts) {
    body["o"] = rollouts_.EncodeRollouts();
  }
  fleet_.SendNote(from, kTopic, std::move(body));
}

void FreshnessAgent::OnAnswer(const VmId& from, const Json::Value& answer) {
  JsonObject fields(answer, "peer");
  const auto asked = questions_.find(fields.Unsigned("n"));
  if (asked == questions_.end()) {
    return;
  }
  const MonoTime asked_at = asked->second;
  questions_.erase(asked);
  if (fields.Has("o")) {
    rollouts_.OnRollouts(answer["o"]);
  }
  if (!fields.Has("v")) {
    return;
  }
  DatedVersion statement;
  statement.era = fields.Unsigned("e");
  statement.revision = fields.Unsigned("r");
  statement.version = fields.Unsigned("v");
  const std::int64_t age_ms = fields.Int("a");
  const std::string source = fields.String("s", kMaxNameBytes);
  if (!fields.Finish() || age_ms < 0) {
    return;
  }
  statement.as_of = asked_at - std::chrono::milliseconds(age_ms);
  const bool is_recent = context_.clock.Now() - statement.as_of < kStaleAge;
  const bool is_latest =
      context_.freshness.Learn(statement, config_.ActiveVersion());
  if (!is_recent) {
    if (source_ == from) {
      source_ = VmId();
    }
  } else if (is_latest) {
    source_ = source.empty() ? from : VmId(source);
  }
  if (statement.version > config_.ActiveVersion()) {
    config_.OnVersionNotice(from, statement.version);
  }
}

}  // namespace cumin
