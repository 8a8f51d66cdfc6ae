#include "cumin_daemon/rollout_agent.h"

#include <algorithm>
#include <utility>

#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr char kTopic[] = "roll";
/** Keys with the progress of roll-outs, for a daemon that decides next. */
constexpr char kProgressPrefix[] = "cumin/rollouts/";
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kReportInterval = std::chrono::milliseconds(400);
/** Reports that the deciding daemon gets in a second at most, beyond a fleet
    whose reports come at kReportInterval. */
constexpr std::size_t kMaxReportsPerS = 300;
/** Delay of a watcher, for each place in its region's ranking, before it writes
    a state that the deciding daemon has not written. */
constexpr Duration kWriteDelay = std::chrono::milliseconds(1500);
/** Time without an answer after which the next daemon of the ranking is asked
   to decide: sooner than a daemon that is gone leaves the members. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1200);
/** Daemons of the ranking that are asked in turn. */
constexpr std::size_t kDeciders = 4;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxRollouts = 64;
constexpr std::size_t kMaxRoutes = 64;
constexpr std::uint64_t kStates = 3;
constexpr std::int64_t kMaxCount = 1 << 24;

Json::Value ToJson(const Rollout& rollout) {
  Json::Value value;
  value["s"] = rollout.order.service.str();
  value["v"] = rollout.order.to_version;
  value["d"] = Json::Int64{ToMillis(rollout.order.duration)};
  value["e"] = Json::UInt64{rollout.order.era};
  value["r"] = Json::UInt64{rollout.order.revision};
  value["t"] = static_cast<int>(rollout.state);
  value["p"] = rollout.share;
  value["k"] = Json::UInt64{rollout.stamp};
  return value;
}

Rollout ReadRollout(JsonObject& fields) {
  Rollout rollout;
  rollout.order.service = fields.Name<ServiceId>("s");
  rollout.order.to_version = fields.String("v", kMaxNameBytes);
  rollout.order.duration = std::chrono::milliseconds(fields.Int("d"));
  rollout.order.era = fields.Unsigned("e");
  rollout.order.revision = fields.Unsigned("r");
  const std::uint64_t state = fields.Unsigned("t");
  if (state >= kStates) {
    fields.Fail("t", "must be below " + std::to_string(kStates));
  } else {
    rollout.state = static_cast<RolloutState>(state);
  }
  rollout.share = std::clamp(fields.Number("p"), 0.0, 1.0);
  rollout.stamp = fields.Unsigned("k");
  return rollout;
}

int ReadCount(JsonObject& fields, const std::string& field) {
  return static_cast<int>(
      std::clamp<std::int64_t>(fields.Int(field), 0, kMaxCount));
}

}  // namespace

RolloutAgent::RolloutAgent(DaemonContext& context, FleetAgent& fleet,
                           ConfigAgent& config, AsyncStore& store,
                           const RouteSource& source)
    : context_(context),
      fleet_(fleet),
      config_(config),
      store_(store),
      source_(source) {}

void RolloutAgent::Start() {
  if (!context_.settings.rollouts) {
    return;
  }
  fleet_.AddNoteHandler(kTopic, *this);
  config_.SetOrderListener(*this);
  asio::co_spawn(context_.executor, Run(), asio::detached);
}

void RolloutAgent::OnOrder(const RolloutOrder& order) {
  const auto known = context_.rollouts.find(order.service);
  Rollout rollout;
  rollout.order = order;
  if (known != context_.rollouts.end() &&
      known->second.order.to_version == order.to_version &&
      order.era > known->second.order.era) {
    // The store has come back from a copy, and the order was written again.
    rollout.state = known->second.state;
    rollout.share = known->second.share;
    rollout.stamp = known->second.stamp;
  }
  Merge(rollout);
}

void RolloutAgent::Merge(const Rollout& received) {
  Rollout& known = context_.rollouts[received.order.service];
  const Rollout before = known;
  if (!MergeRollout(received, &known)) {
    return;
  }
  if (!(before.order == known.order)) {
    decisions_.erase(known.order.service);
    unwritten_since_.erase(known.order.service);
  }
  if (before.state != known.state || before.share != known.share ||
      !(before.order == known.order)) {
    context_.log.Write(
        EventLine("rollout")
            .With("service", known.order.service.str())
            .With("version", known.order.to_version)
            .With("state", ToString(known.state))
            .With("percent", static_cast<std::int64_t>(known.share * 100))
            .With("revision", static_cast<std::int64_t>(known.order.revision)));
  }
}

Json::Value RolloutAgent::EncodeRollouts() const {
  Json::Value list(Json::arrayValue);
  for (const auto& [service, rollout] : context_.rollouts) {
    list.append(ToJson(rollout));
  }
  return list;
}

void RolloutAgent::OnRollouts(const Json::Value& rollouts) {
  if (!rollouts.isArray() || rollouts.size() > kMaxRollouts) {
    return;
  }
  for (const Json::Value& it : rollouts) {
    JsonObject fields(it, "peer");
    const Rollout rollout = ReadRollout(fields);
    if (fields.Finish()) {
      Merge(rollout);
    }
  }
}

Task<void> RolloutAgent::Run() {
  while (true) {
    co_await SleepFor(kTick);
    if (context_.rollouts.empty()) {
      continue;
    }
    if (IsDecider()) {
      Decide();
    }
    const MonoTime now = context_.clock.Now();
    if (now >= next_report_) {
      next_report_ = now + ReportInterval();
      Report();
    }
    WriteStates();
  }
}

VmId RolloutAgent::Decider() {
  const SpreadPlan& plan = fleet_.Plan();
  const std::vector<VmId>& ranking = plan.FetcherRanking(plan.source_region());
  return ranking.empty() ? context_.settings.vm
                         : ranking[decider_rank_ % ranking.size()];
}

bool RolloutAgent::IsDecider() {
  const bool is_asked =
      asked_at_ && context_.clock.Now() - *asked_at_ < kAnswerTimeout;
  return is_asked || Decider() == context_.settings.vm;
}

void RolloutAgent::AwaitAnswer(MonoTime now) {
  if (members_epoch_ != fleet_.members_epoch()) {
    members_epoch_ = fleet_.members_epoch();
    decider_rank_ = 0;
  }
  if (!unanswered_since_) {
    unanswered_since_ = now;
  } else if (now - *unanswered_since_ >= kAnswerTimeout) {
    decider_rank_ = (decider_rank_ + 1) % kDeciders;
    unanswered_since_ = now;
  }
}

Duration RolloutAgent::ReportInterval() const {
  const Duration spread =
      std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) *
      static_cast<Duration::rep>(fleet_.live_count()) /
      static_cast<Duration::rep>(kMaxReportsPerS);
  return std::max(kReportInterval, spread);
}

void RolloutAgent::Report() {
  const bool has_active = std::any_of(
      context_.rollouts.begin(), context_.rollouts.end(),
      [](const auto& it) { return it.second.state == RolloutState::kActive; });
  if (!has_active) {
    context_.version_samples.clear();
    return;
  }
  const VmId decider = Decider();
  Json::Value body = MakeReport();
  if (decider == context_.settings.vm) {
    OnReport(decider, body);
    return;
  }
  AwaitAnswer(context_.clock.Now());
  body["o"] = EncodeRollouts();
  fleet_.SendNote(decider, kTopic, std::move(body));
}

Json::Value RolloutAgent::MakeReport() {
  Json::Value body;
  body["q"] = true;
  const auto& target = context_.announcements.last();
  const auto rollout = context_.rollouts.find(context_.settings.service);
  if (!target || rollout == context_.rollouts.end()) {
    return body;
  }
  body["c"] = context_.settings.service.str();
  body["v"] = target->version;
  body["f"] = context_.target_in_flight;
  body["l"] = Json::Value(Json::arrayValue);
  for (const auto& [route, sample] : context_.version_samples) {
    Json::Value entry;
    entry["r"] = route;
    entry["n"] = sample.answers;
    entry["x"] = sample.failures;
    entry["w"] = sample.timed;
    entry["t"] = Json::Int64{ToMillis(sample.total_time)};
    body["l"].append(std::move(entry));
  }
  context_.version_samples.clear();
  return body;
}

void RolloutAgent::OnNote(const VmId& from, const Json::Value& body) {
  OnRollouts(body["o"]);
  if (!body.isMember("q")) {
    unanswered_since_.reset();
    return;
  }
  asked_at_ = context_.clock.Now();
  OnReport(from, body);
  Json::Value answer;
  answer["o"] = EncodeRollouts();
  fleet_.SendNote(from, kTopic, std::move(answer));
}

void RolloutAgent::OnReport(const VmId& from, const Json::Value& body) {
  JsonObject fields(body, "peer");
  if (!fields.Has("c")) {
    return;
  }
  const auto service = fields.Name<ServiceId>("c");
  VersionReport report;
  report.vm = from;
  report.version = fields.String("v", kMaxNameBytes);
  report.in_flight = ReadCount(fields, "f");
  for (JsonObject& it : fields.Objects("l", kMaxRoutes)) {
    VersionSample sample;
    sample.route = it.String("r", kMaxNameBytes);
    sample.answers = ReadCount(it, "n");
    sample.failures = ReadCount(it, "x");
    sample.timed = ReadCount(it, "w");
    sample.total_time = std::chrono::milliseconds(it.Int("t"));
    report.samples.push_back(std::move(sample));
  }
  const auto decision = decisions_.find(service);
  if (fields.Finish() && decision != decisions_.end()) {
    decision->second.plan.OnReport(report, context_.clock.Now());
  }
}

void RolloutAgent::Decide() {
  const MonoTime now = context_.clock.Now();
  for (const auto& [service, rollout] : context_.rollouts) {
    if (rollout.state != RolloutState::kActive) {
      continue;
    }
    const auto [it, is_new] =
        decisions_.try_emplace(service, rollout.order, now);
    Decision& decision = it->second;
    if (!decision.is_resumed) {
      if (!is_syncing_[service]) {
        is_syncing_[service] = true;
        asio::co_spawn(context_.executor, SyncState(service), asio::detached);
      }
      continue;
    }
    decision.plan.Resume(rollout);
    const Rollout decided = decision.plan.Decide(now);
    if (decided.state == RolloutState::kRolledBack) {
      context_.log.Write(EventLine("rollout-rolled-back")
                             .With("service", service.str())
                             .With("version", decided.order.to_version)
                             .With("reason", decision.plan.reason()));
    }
    const bool has_changed = decided.stamp != rollout.stamp;
    Merge(decided);
    if (has_changed) {
      asio::co_spawn(context_.executor, KeepProgress(decided), asio::detached);
    }
    if (decisions_.count(service) == 0) {
      return;
    }
  }
}

Task<void> RolloutAgent::KeepProgress(Rollout rollout) {
  const Result<std::uint64_t> put =
      co_await store_.Put(kProgressPrefix + rollout.order.service.str(),
                          ToJsonText(ToJson(rollout)), kNoLease);
  if (!put) {
    context_.log.Write(EventLine("rollout-progress-not-kept")
                           .With("error", Describe(put.error())));
  }
}

Task<void> RolloutAgent::ReadProgress(ServiceId service) {
  const Result<StoreItem> item = co_await store_.Get(
      kProgressPrefix + service.str(), ReadFreshness::kCurrent);
  if (!item) {
    co_return;
  }
  const Result<Json::Value> value =
      ParseJson(item.value().value, kProgressPrefix);
  if (!value) {
    co_return;
  }
  JsonObject fields(value.value(), kProgressPrefix);
  const Rollout kept = ReadRollout(fields);
  const Rollout& known = context_.rollouts[service];
  // The order may have been written again under another revision.
  if (fields.Finish() && kept.order == known.order) {
    Merge(kept);
  }
}

bool RolloutAgent::IsWritten(const Rollout& rollout) const {
  const auto found = written_.find(rollout.order.service);
  return found != written_.end() && found->second.order == rollout.order &&
         found->second.state == rollout.state &&
         found->second.era == store_.era();
}

void RolloutAgent::WriteStates() {
  const MonoTime now = context_.clock.Now();
  if (!config_.is_watching()) {
    return;
  }
  const int rank = fleet_.Plan().FetcherRank(context_.settings.vm);
  const Duration delay =
      IsDecider() ? Duration::zero() : kWriteDelay * (rank + 1);
  for (const auto& [service, rollout] : context_.rollouts) {
    if (IsWritten(rollout)) {
      unwritten_since_.erase(service);
      continue;
    }
    const auto [since, is_new] = unwritten_since_.try_emplace(service, now);
    if (now - since->second >= delay && !is_syncing_[service]) {
      is_syncing_[service] = true;
      asio::co_spawn(context_.executor, SyncState(service), asio::detached);
    }
  }
}

Task<void> RolloutAgent::SyncState(ServiceId service) {
  const std::string key = source_.RolloutStateKey(service);
  const Result<StoreItem> item =
      co_await store_.Get(key, ReadFreshness::kCurrent);
  const std::uint64_t era = store_.era();
  const bool is_absent = !item && item.error().code == ErrorCode::kNotFound;
  if (!item && !is_absent) {
    context_.log.Write(EventLine("rollout-state-not-read")
                           .With("error", Describe(item.error())));
    co_await SleepFor(kReportInterval);
    is_syncing_[service] = false;
    co_return;
  }
  const std::uint64_t revision = item ? item.value().revision : 0;
  const Rollout& known = context_.rollouts[service];
  // A state that is older than the order is about an earlier order.
  if (item && era == known.order.era && revision > known.order.revision) {
    const Result<Rollout> state = source_.ParseRolloutState(item.value().value);
    if (state && state.value().order.to_version == known.order.to_version) {
      Rollout read = known;
      read.state = std::max(read.state, state.value().state);
      Merge(read);
      written_[service] = WrittenState{era, known.order, state.value().state};
    }
  }
  const auto undecided = decisions_.find(service);
  if (undecided != decisions_.end() && !undecided->second.is_resumed) {
    co_await ReadProgress(service);
  }
  const Rollout rollout = context_.rollouts[service];
  if (!IsWritten(rollout)) {
    const Result<std::uint64_t> put = co_await store_.PutIf(
        key, source_.EncodeRolloutState(rollout), revision);
    if (put) {
      written_[service] =
          WrittenState{store_.era(), rollout.order, rollout.state};
    }
    context_.log.Write(EventLine("rollout-state-written")
                           .With("service", service.str())
                           .With("state", ToString(rollout.state))
                           .With("result", put ? "ok" : Describe(put.error())));
  }
  const auto decision = decisions_.find(service);
  if (decision != decisions_.end()) {
    decision->second.is_resumed = true;
  }
  is_syncing_[service] = false;
}

}  // namespace cumin
