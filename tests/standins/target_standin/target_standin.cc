#include "standins/target_standin/target_standin.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>

#include "cumin_core/json_text.h"

namespace cumin::test {

namespace {

constexpr char kTargetPath[] = "/-/target/";
constexpr int kCrashStatus = 70;
constexpr std::size_t kMaxLoadSamples = 100000;
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

HttpResponse MakeAnswer(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = body;
  return response;
}

HttpResponse MakeNotRun(const std::string& reason) {
  Json::Value body;
  body["error"] = reason;
  HttpResponse response = MakeAnswer(503, ToJsonText(body));
  response.headers.Set("Cumin-Verdict", "not-run");
  return response;
}

/** @returns the `bytes` parameter, or 0 */
std::size_t WantedBytes(const std::string& query) {
  const std::size_t at = query.find("bytes=");
  if (at == std::string::npos) {
    return 0;
  }
  const std::size_t wanted =
      std::strtoul(query.c_str() + at + sizeof("bytes=") - 1, nullptr, 10);
  return std::min(wanted, kMaxAnswerBytes);
}

}  // namespace

TargetStandin::TargetStandin(const TargetOptions& options, RunLog& log,
                             const Clock& clock)
    : options_(options), log_(log), clock_(clock), started_at_(clock.Now()) {}

void TargetStandin::Serve(RawConnection& connection) {
  const std::uint64_t generation = silenced_generation();
  while (const auto request = connection.Read()) {
    if (generation != silenced_generation()) {
      connection.Swallow();
      return;
    }
    if (!Answer(connection, *request, generation)) {
      return;
    }
  }
}

TargetAnnouncement TargetStandin::Announcement() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return TargetAnnouncement{options_.slots, StateLocked()};
}

void TargetStandin::AwaitChange(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string state = StateLocked();
  const MonoTime ready_at = started_at_ + options_.cold_start;
  const MonoTime now = clock_.Now();
  const Duration wait =
      ready_at > now ? std::min<Duration>(limit, ready_at - now) : limit;
  changed_.wait_for(lock, wait, [&] { return StateLocked() != state; });
}

void TargetStandin::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = true;
  changed_.notify_all();
}

bool TargetStandin::AwaitIdle(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, limit, [this] { return in_flight_ == 0; });
}

bool TargetStandin::Answer(RawConnection& connection,
                           const HttpRequest& request,
                           std::uint64_t generation) {
  if (request.path == std::string(kTargetPath) + "control") {
    return connection.Write(Control(request.body), 0);
  }
  if (request.path.rfind(kTargetPath, 0) == 0) {
    return connection.Write(Health(), 0);
  }
  Duration service_time{0};
  const std::string refusal = TakeSlot(&service_time);
  if (!refusal.empty()) {
    return connection.Write(MakeNotRun(refusal), 0);
  }
  const HttpResponse response = Run(connection, request, service_time);
  const bool kept = Deliver(connection, response, generation);
  ReturnSlot();
  return kept;
}

bool TargetStandin::Deliver(RawConnection& connection,
                            const HttpResponse& response,
                            std::uint64_t generation) {
  if (generation != silenced_generation()) {
    return true;
  }
  const std::size_t missing = TakeTruncation();
  return connection.Write(response, missing) && missing == 0;
}

HttpResponse TargetStandin::Run(RawConnection& connection,
                                const HttpRequest& request,
                                Duration service_time) {
  std::uint64_t run = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    run = ++runs_;
  }
  log_.Write(RunEvent::kStart, run, address_, request, clock_.WallNow());
  CrashIfMarked(request);
  const std::string deadline = request.headers.Get("Cumin-Deadline-Ms");
  const Duration allowed = deadline.empty()
                               ? service_time
                               : Duration(std::chrono::milliseconds(std::strtol(
                                     deadline.c_str(), nullptr, 10)));
  const Duration wait = std::min(service_time, allowed);
  const bool stayed = connection.StaysOpenFor(wait);
  if (!stayed || service_time > allowed) {
    log_.Write(RunEvent::kCut, run, address_, request, clock_.WallNow());
    return MakeAnswer(504, R"({"error":"stopped before its end"})");
  }
  log_.Write(RunEvent::kFinish, run, address_, request, clock_.WallNow());
  Json::Value body;
  body["ran_by"] = address_;
  body["path"] = request.path;
  body["key"] = request.headers.Get("Idempotency-Key");
  body["request_id"] = request.headers.Get("Cumin-Request-Id");
  std::string text = ToJsonText(body);
  text.resize(std::max(text.size(), WantedBytes(request.query)), ' ');
  return MakeAnswer(200, text);
}

HttpResponse TargetStandin::Control(const std::string& body) {
  const Result<Json::Value> parsed = ParseJson(body, "control");
  if (!parsed || !parsed.value().isObject()) {
    return MakeAnswer(400, R"({"error":"not a JSON object"})");
  }
  const Json::Value& set = parsed.value();
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = set.get("leaving", leaving_).asBool();
  sheds_ = set.get("shed", sheds_).asBool();
  crash_mark_ = set.get("crash_on", crash_mark_).asString();
  answers_to_truncate_ = set.get("truncate", answers_to_truncate_).asInt();
  options_.slots = set.get("slots", options_.slots).asInt();
  if (set.isMember("service_ms")) {
    options_.service_time =
        std::chrono::milliseconds(set["service_ms"].asInt());
  }
  if (set.get("silent", false).asBool()) {
    ++generation_;
  }
  changed_.notify_all();
  return MakeAnswer(200, "true");
}

HttpResponse TargetStandin::Health() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json::Value body;
  body["state"] = options_.lies ? "ready" : StateLocked();
  body["slots"] = options_.slots;
  body["in_flight"] = options_.lies ? 0 : LaggingLoadLocked();
  return MakeAnswer(200, ToJsonText(body));
}

std::string TargetStandin::TakeSlot(Duration* service_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (StateLocked() == "starting") {
    return "starting";
  }
  if (sheds_) {
    return "shedding load";
  }
  if (in_flight_ >= options_.slots) {
    return "no free slot";
  }
  ++in_flight_;
  load_samples_.push_back(LoadSample{clock_.Now(), in_flight_});
  *service_time = options_.service_time;
  return "";
}

void TargetStandin::ReturnSlot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --in_flight_;
  load_samples_.push_back(LoadSample{clock_.Now(), in_flight_});
  while (load_samples_.size() > kMaxLoadSamples) {
    load_samples_.pop_front();
  }
  changed_.notify_all();
}

std::string TargetStandin::StateLocked() const {
  if (leaving_) {
    return "leaving";
  }
  return clock_.Now() < started_at_ + options_.cold_start ? "starting"
                                                          : "ready";
}

int TargetStandin::LaggingLoadLocked() const {
  const MonoTime at = clock_.Now() - options_.health_lag;
  int in_flight = 0;
  for (const LoadSample& it : load_samples_) {
    if (it.at > at) {
      break;
    }
    in_flight = it.in_flight;
  }
  return in_flight;
}

void TargetStandin::CrashIfMarked(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!crash_mark_.empty() && request.headers.Get("X-Mark") == crash_mark_) {
    _exit(kCrashStatus);
  }
}

std::size_t TargetStandin::TakeTruncation() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (answers_to_truncate_ <= 0) {
    return 0;
  }
  --answers_to_truncate_;
  return 1;
}

std::uint64_t TargetStandin::silenced_generation() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return generation_;
}

}  // namespace cumin::test
