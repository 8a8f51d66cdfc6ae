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
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024 * 1024;

HttpResponse MakeResponse(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = body;
  return response;
}

HttpResponse MakeNotRunResponse(const std::string& reason) {
  Json::Value body;
  body["error"] = reason;
  HttpResponse response = MakeResponse(503, ToJsonText(body));
  response.headers.Set("Cumin-Verdict", "not-run");
  return response;
}

/** @returns the `bytes` query parameter, or 0 */
std::size_t RequestedBodyBytes(const std::string& query) {
  const std::size_t at = query.find("bytes=");
  if (at == std::string::npos) {
    return 0;
  }
  const std::size_t wanted =
      std::strtoul(query.c_str() + at + sizeof("bytes=") - 1, nullptr, 10);
  return std::min(wanted, kMaxResponseBytes);
}

}  // namespace

TargetStandin::TargetStandin(const TargetOptions& options, RunLog& log,
                             const Clock& clock)
    : options_(options), log_(log), clock_(clock), started_at_(clock.Now()) {}

void TargetStandin::Serve(RawConnection& connection) {
  const std::uint64_t generation = silence_generation();
  while (const auto request = connection.Read()) {
    if (generation != silence_generation()) {
      connection.DiscardInput();
      return;
    }
    if (!HandleRequest(connection, *request, generation)) {
      return;
    }
  }
}

TargetAnnouncement TargetStandin::Announcement() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return TargetAnnouncement{options_.slots, StateLocked()};
}

void TargetStandin::WaitForChange(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string state = StateLocked();
  const MonoTime ready_at = started_at_ + options_.cold_start;
  const MonoTime now = clock_.Now();
  const Duration wait =
      ready_at > now ? std::min<Duration>(limit, ready_at - now) : limit;
  changed_.wait_for(lock, wait, [&] { return StateLocked() != state; });
}

void TargetStandin::StartDraining() {
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_ = true;
  changed_.notify_all();
}

bool TargetStandin::WaitUntilIdle(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(
      lock, limit, [this] { return in_flight_ == 0 && responding_ == 0; });
}

bool TargetStandin::HandleRequest(RawConnection& connection,
                                  const HttpRequest& request,
                                  std::uint64_t generation) {
  if (request.path == std::string(kTargetPath) + "control") {
    return connection.Write(HandleControlRequest(request.body), 0);
  }
  if (request.path.rfind(kTargetPath, 0) == 0) {
    return connection.Write(Health(), 0);
  }
  Duration service_time{0};
  const std::string rejection = AcquireSlot(&service_time);
  if (!rejection.empty()) {
    return connection.Write(MakeNotRunResponse(rejection), 0);
  }
  const HttpResponse response = Run(connection, request, service_time);
  // Before the response is sent: whoever has received it may use the slot.
  ReleaseSlot();
  const bool keep_open = SendResponse(connection, response, generation);
  EndResponse();
  return keep_open;
}

bool TargetStandin::SendResponse(RawConnection& connection,
                                 const HttpResponse& response,
                                 std::uint64_t generation) {
  if (generation != silence_generation()) {
    return true;
  }
  const std::size_t omitted_bytes = ConsumeTruncation();
  return connection.Write(response, omitted_bytes) && omitted_bytes == 0;
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
  MaybeCrash(request);
  const std::string deadline = request.headers.Get("Cumin-Deadline-Ms");
  const Duration remaining =
      deadline.empty() ? service_time
                       : Duration(std::chrono::milliseconds(
                             std::strtol(deadline.c_str(), nullptr, 10)));
  const Duration wait = std::min(service_time, remaining);
  const bool connection_open = connection.WaitWhileOpen(wait);
  if (!connection_open || service_time > remaining) {
    log_.Write(RunEvent::kCut, run, address_, request, clock_.WallNow());
    return MakeResponse(504, R"({"error":"stopped before its end"})");
  }
  log_.Write(RunEvent::kFinish, run, address_, request, clock_.WallNow());
  Json::Value body;
  body["ran_by"] = address_;
  body["path"] = request.path;
  body["key"] = request.headers.Get("Idempotency-Key");
  body["request_id"] = request.headers.Get("Cumin-Request-Id");
  std::string text = ToJsonText(body);
  text.resize(std::max(text.size(), RequestedBodyBytes(request.query)), ' ');
  return MakeResponse(200, text);
}

HttpResponse TargetStandin::HandleControlRequest(const std::string& body) {
  const Result<Json::Value> parsed = ParseJson(body, "control");
  if (!parsed || !parsed.value().isObject()) {
    return MakeResponse(400, R"({"error":"not a JSON object"})");
  }
  const Json::Value& set = parsed.value();
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_ = set.get("leaving", draining_).asBool();
  shedding_ = set.get("shed", shedding_).asBool();
  crash_marker_ = set.get("crash_on", crash_marker_).asString();
  responses_to_truncate_ = set.get("truncate", responses_to_truncate_).asInt();
  options_.slots = set.get("slots", options_.slots).asInt();
  if (set.isMember("service_ms")) {
    options_.service_time =
        std::chrono::milliseconds(set["service_ms"].asInt());
  }
  if (set.get("silent", false).asBool()) {
    ++silence_generation_;
  }
  changed_.notify_all();
  return MakeResponse(200, "true");
}

HttpResponse TargetStandin::Health() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json::Value body;
  body["state"] = options_.always_report_idle ? "ready" : StateLocked();
  body["slots"] = options_.slots;
  body["in_flight"] = options_.always_report_idle ? 0 : DelayedLoadLocked();
  return MakeResponse(200, ToJsonText(body));
}

std::string TargetStandin::AcquireSlot(Duration* service_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (StateLocked() == "starting") {
    return "starting";
  }
  if (shedding_) {
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

void TargetStandin::ReleaseSlot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --in_flight_;
  ++responding_;
  load_samples_.push_back(LoadSample{clock_.Now(), in_flight_});
  while (load_samples_.size() > kMaxLoadSamples) {
    load_samples_.pop_front();
  }
}

void TargetStandin::EndResponse() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --responding_;
  changed_.notify_all();
}

std::string TargetStandin::StateLocked() const {
  if (draining_) {
    return "leaving";
  }
  return clock_.Now() < started_at_ + options_.cold_start ? "starting"
                                                          : "ready";
}

int TargetStandin::DelayedLoadLocked() const {
  const MonoTime at = clock_.Now() - options_.health_delay;
  int in_flight = 0;
  for (const LoadSample& it : load_samples_) {
    if (it.at > at) {
      break;
    }
    in_flight = it.in_flight;
  }
  return in_flight;
}

void TargetStandin::MaybeCrash(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!crash_marker_.empty() &&
      request.headers.Get("X-Mark") == crash_marker_) {
    _exit(kCrashStatus);
  }
}

std::size_t TargetStandin::ConsumeTruncation() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (responses_to_truncate_ <= 0) {
    return 0;
  }
  --responses_to_truncate_;
  return 1;
}

std::uint64_t TargetStandin::silence_generation() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return silence_generation_;
}

}  // namespace cumin::test
