#include "cuminload/scenario.h"

#include <limits>
#include <set>
#include <utility>

#include "cumin_core/yaml_object.h"

namespace cumin::load {

namespace {

constexpr int kMaxLengthS = 24 * 3600;
constexpr int kMaxWorkers = 2048;
constexpr int kMaxAttempts = 20;
constexpr int kMaxPauseMs = 60000;
constexpr int kMaxDeadlineMs = 600000;
constexpr std::int64_t kMaxBytes = std::int64_t{16} * 1024 * 1024;
constexpr double kMinRatePerS = 0.01;
constexpr double kMaxRatePerS = 20000;

ScenarioCall ParseCall(YamlObject& fields) {
  const ScenarioCall fallback;
  ScenarioCall call;
  call.name = fields.RequiredName("name");
  call.customer = CustomerId(fields.RequiredName("customer"));
  call.method = fields.Choice("method", {"GET", "POST", "PUT", "DELETE"}, "");
  call.path = fields.RequiredString("path");
  if (!call.path.empty() && call.path[0] != '/') {
    fields.Fail("path", "must begin with '/'");
  }
  const std::string runs =
      fields.Choice("runs", {"idempotent", "at-most-once"}, "");
  call.repeatability = runs == "at-most-once" ? Repeatability::kAtMostOnce
                                              : Repeatability::kIdempotent;
  call.rate_per_s = fields.Number("rate_per_s", fallback.rate_per_s,
                                  kMinRatePerS, kMaxRatePerS);
  call.deadline = std::chrono::milliseconds(fields.Int(
      "deadline_ms", ToMillis(fallback.deadline), 1, kMaxDeadlineMs));
  call.body_bytes =
      static_cast<std::size_t>(fields.Int("body_bytes", 0, 0, kMaxBytes));
  call.answer_bytes =
      static_cast<std::size_t>(fields.Int("answer_bytes", 0, 0, kMaxBytes));
  return call;
}

void ParseResend(YamlObject& root, Scenario* out) {
  YamlObject fields = root.Object("resend");
  out->attempts =
      static_cast<int>(fields.Int("attempts", out->attempts, 1, kMaxAttempts));
  out->resend_pause = std::chrono::milliseconds(
      fields.Int("pause_ms", ToMillis(out->resend_pause), 0, kMaxPauseMs));
  root.Absorb(fields);
}

void ParseEntries(YamlObject& root, Scenario* out) {
  for (const std::string& it : root.Strings("entries")) {
    const Result<Endpoint> entry = ParseEndpoint(it);
    if (!entry) {
      root.Fail("entries", entry.error().reason);
      return;
    }
    out->entries.push_back(entry.value());
  }
}

void ParseCalls(YamlObject& root, Scenario* out) {
  std::set<std::string> names;
  for (YamlObject& it : root.Objects("calls")) {
    ScenarioCall call = ParseCall(it);
    if (!names.insert(call.name).second) {
      it.Fail("name", "duplicates the name of another call in the scenario");
    }
    root.Absorb(it);
    out->calls.push_back(std::move(call));
  }
  if (out->calls.empty()) {
    root.Fail("calls", "must list at least one call");
  }
}

}  // namespace

Result<Scenario> ParseScenario(const std::string& text,
                               const std::string& source) {
  YamlObject root = YamlObject::Parse(text, source);
  Scenario scenario;
  scenario.name = root.RequiredName("scenario");
  scenario.seed = static_cast<std::uint64_t>(
      root.Int("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  scenario.length = std::chrono::seconds(
      root.Int("duration_s", ToMillis(scenario.length) / 1000, 1, kMaxLengthS));
  scenario.workers =
      static_cast<int>(root.Int("workers", scenario.workers, 1, kMaxWorkers));
  ParseResend(root, &scenario);
  ParseEntries(root, &scenario);
  scenario.run_logs = root.Strings("run_logs");
  ParseCalls(root, &scenario);
  const Result<void> checked = root.Finish();
  if (!checked) {
    return checked.error();
  }
  return scenario;
}

}  // namespace cumin::load
