#include "cumin_proxy/status_service.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "cumin_config/config_queries.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_fleet/fleet_codec.h"

namespace cumin {

namespace {

constexpr Duration kSelfTimeout = std::chrono::milliseconds(700);
constexpr Duration kChunkTimeout = std::chrono::seconds(5);
constexpr int kAskedAtOnce = 8;
/** Members through which one chunk is tried. */
constexpr std::size_t kChunkAttempts = 2;
constexpr std::size_t kMaxChunk = 4096;
constexpr std::size_t kHistoryRecords = 64;

/** Runs a job for each index, a few at a time, and waits for all. */
void ForEachIndex(std::size_t count,
                  const std::function<void(std::size_t)>& job) {
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      job(i);
    }
  };
  std::vector<std::thread> threads;
  const std::size_t n = std::min<std::size_t>(count, kAskedAtOnce);
  threads.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

Json::Value ToJson(const std::vector<MemberVersionReport>& reports) {
  Json::Value list(Json::arrayValue);
  for (const MemberVersionReport& it : reports) {
    list.append(cumin::ToJson(it));
  }
  return list;
}

}  // namespace

StatusService::StatusService(Blackboard& board, Store& store,
                             ConfigHolder& config, FleetState& state,
                             PeerCaller& caller)
    : board_(board),
      store_(store),
      config_(config),
      state_(state),
      caller_(caller) {}

void StatusService::Register(JsonRpcDispatcher& dispatcher) {
  using Value = Json::Value;
  dispatcher.Register("status.self", [this](const Value& /*parameters*/) {
    return Result<Value>(cumin::ToJson(Own()));
  });
  dispatcher.Register(kStatusMethod,
                      [this](const Value& it) { return OnGather(it); });
  dispatcher.Register(kHistoryMethod,
                      [this](const Value& it) { return OnHistory(it); });
  dispatcher.Register(kBundleMethod,
                      [this](const Value& it) { return OnBundle(it); });
}

StatusReport StatusService::GatherAll() {
  StatusReport report;
  report.made_at = board_.clock.WallNow();
  report.made_by = board_.settings.vm;
  ReadStoreHead(&report);
  const std::vector<Member> expected = state_.Expected();
  const std::vector<GatherChunk> chunks = SplitForGather(expected);
  std::vector<std::vector<MemberVersionReport>> answers(chunks.size());
  ForEachIndex(chunks.size(),
               [&](std::size_t i) { answers[i] = AskThrough(chunks[i]); });
  GatherReport gathered;
  for (const std::vector<MemberVersionReport>& reports : answers) {
    for (const MemberVersionReport& it : reports) {
      state_.HearReport(it);
      gathered.Add(it);
    }
  }
  for (const Member& it : expected) {
    gathered.Add(state_.LastKnown(it.vm));
  }
  report.members = gathered.members;
  return report;
}

void StatusService::ReadStoreHead(StatusReport* report) {
  report->history = config_.History(kHistoryRecords);
  ConfigStoreReader reader(store_);
  const Result<std::optional<HeadRecord>> head = reader.ReadHead();
  report->store_answered = head.has_value();
  if (!head || !head.value()) {
    return;
  }
  const ConfigVersionRecord& newest = head.value()->change;
  if (newest.version > config_.Stamp().version) {
    report->history.insert(report->history.begin(), newest);
  }
}

MemberVersionReport StatusService::Own() const {
  MemberVersionReport report = state_.LastKnown(board_.settings.vm);
  report.version = config_.Stamp().version;
  report.in_force_since = config_.Since();
  report.reachable = true;
  report.last_heard = board_.clock.WallNow();
  report.known_daemons = state_.Expected().size();
  return report;
}

MemberVersionReport StatusService::Ask(const VmId& vm) {
  if (vm == board_.settings.vm) {
    return Own();
  }
  MemberVersionReport report = state_.LastKnown(vm);
  const std::optional<Member> member = state_.Find(vm);
  if (!member || !IsLive(*member)) {
    return report;
  }
  const Result<Json::Value> answer =
      caller_.Call(*member, "status.self", Json::objectValue, kSelfTimeout);
  if (!answer) {
    return report;
  }
  JsonObject fields(answer.value(), vm.str());
  MemberVersionReport told = ReadMemberVersionReport(fields);
  if (fields.Finish() && told.vm == vm) {
    report = told;
    report.last_heard = board_.clock.WallNow();
  }
  return report;
}

std::vector<MemberVersionReport> StatusService::AskEach(
    const std::vector<VmId>& members) {
  std::vector<MemberVersionReport> answers(members.size());
  ForEachIndex(members.size(),
               [&](std::size_t i) { answers[i] = Ask(members[i]); });
  std::vector<MemberVersionReport> reports;
  for (const MemberVersionReport& it : answers) {
    // Of a member that is unknown here the asker says what it knows itself.
    if (!it.region.empty()) {
      reports.push_back(it);
    }
  }
  return reports;
}

std::vector<MemberVersionReport> StatusService::AskThrough(
    const GatherChunk& chunk) {
  std::vector<MemberVersionReport> reports;
  for (std::size_t i = 0; i < chunk.members.size() && i < kChunkAttempts; ++i) {
    if (AskVia(chunk.members[i], chunk, &reports)) {
      return reports;
    }
  }
  for (const VmId& it : chunk.members) {
    reports.push_back(state_.LastKnown(it));
  }
  return reports;
}

bool StatusService::AskVia(const VmId& via, const GatherChunk& chunk,
                           std::vector<MemberVersionReport>* reports) {
  if (via == board_.settings.vm) {
    *reports = AskEach(chunk.members);
    return true;
  }
  const std::optional<Member> member = state_.Find(via);
  if (!member || !IsLive(*member)) {
    return false;
  }
  Json::Value parameters;
  for (const VmId& it : chunk.members) {
    parameters["members"].append(it.str());
  }
  const Result<Json::Value> answer =
      caller_.Call(*member, kStatusMethod, parameters, kChunkTimeout);
  if (!answer) {
    return false;
  }
  JsonObject fields(answer.value(), via.str());
  std::vector<MemberVersionReport> told;
  for (JsonObject& it : fields.Objects("members", kMaxChunk)) {
    told.push_back(ReadMemberVersionReport(it));
  }
  if (!fields.Finish()) {
    return false;
  }
  *reports = std::move(told);
  return true;
}

Result<Json::Value> StatusService::OnGather(const Json::Value& parameters) {
  JsonObject fields(parameters, "status.gather");
  if (!fields.Has("members")) {
    return cumin::ToJson(GatherAll());
  }
  std::vector<VmId> members;
  for (const std::string& it : fields.Strings("members", kMaxChunk)) {
    members.emplace_back(it);
  }
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  Json::Value answer;
  answer["members"] = ToJson(AskEach(members));
  return answer;
}

Result<Json::Value> StatusService::OnHistory(const Json::Value& parameters) {
  const Result<HistoryQuery> query =
      ParseHistoryQuery(parameters, kHistoryMethod);
  if (!query) {
    return query.error();
  }
  return cumin::ToJson(HistoryAnswer{config_.History(query.value().limit)});
}

Result<Json::Value> StatusService::OnBundle(const Json::Value& parameters) {
  const Result<BundleQuery> query = ParseBundleQuery(parameters, kBundleMethod);
  if (!query) {
    return query.error();
  }
  const auto bundle = config_.Find(query.value().version);
  if (!bundle) {
    return Error{ErrorCode::kNotFound, board_.settings.vm.str(), 0, "version",
                 "this daemon does not keep that version"};
  }
  return cumin::ToJson(BundleAnswer{*bundle});
}

}  // namespace cumin
