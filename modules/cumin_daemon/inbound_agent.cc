#include "cumin_daemon/inbound_agent.h"

#include <algorithm>

#include "cumin_core/json_object.h"

namespace cumin {

namespace {

/** Some round trips between regions. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);
constexpr std::int64_t kMaxMillis = 86400000;

Duration ReadMillis(JsonObject& fields, const std::string& field) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(fields.Int(field), 0, kMaxMillis));
}

}  // namespace

InboundAgent::InboundAgent(DaemonContext& context, FleetAgent& fleet)
    : context_(context), fleet_(fleet), link_(context.settings.link_mbps) {}

Task<InboundGrant> InboundAgent::Ask(VmId peer, std::size_t n, Duration left) {
  Question question(context_.executor);
  const std::uint64_t number = next_question_++;
  questions_[number] = &question;
  Json::Value body;
  body["q"] = Json::UInt64{number};
  body["n"] = Json::UInt64{n};
  body["l"] = Json::Int64{ToMillis(left)};
  fleet_.SendNote(peer, kTopic, std::move(body));
  co_await question.wake_up.WaitFor(kAnswerTimeout);
  questions_.erase(number);
  context_.metrics.CountInboundGrant(question.grant.is_granted);
  co_return question.grant;
}

void InboundAgent::OnNote(const VmId& from, const Json::Value& body) {
  JsonObject fields(body, "peer");
  if (fields.Has("q")) {
    const std::uint64_t n = fields.Unsigned("n");
    const Duration left = ReadMillis(fields, "l");
    if (!fields.Finish()) {
      return;
    }
    const InboundGrant grant = link_.Reserve(n, left, context_.clock.Now());
    Json::Value answer;
    answer["a"] = body["q"];
    answer["g"] = grant.is_granted;
    answer["w"] = Json::Int64{ToMillis(grant.wait)};
    fleet_.SendNote(from, kTopic, std::move(answer));
    return;
  }
  const std::uint64_t number = fields.Unsigned("a");
  const bool is_granted = fields.Bool("g");
  const Duration wait = ReadMillis(fields, "w");
  const auto question = questions_.find(number);
  if (!fields.Finish() || question == questions_.end()) {
    return;
  }
  question->second->grant = InboundGrant{is_granted, wait};
  question->second->wake_up.Notify();
}

}  // namespace cumin
