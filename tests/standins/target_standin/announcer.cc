#include "standins/target_standin/announcer.h"

#include <utility>

#include "cumin_core/json_text.h"
#include "cumin_rpc/http_client.h"

namespace cumin::test {

namespace {

constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);
/** Shorter than the heartbeat period, so that the thread stops promptly. */
constexpr Duration kMaxWait = std::chrono::milliseconds(100);

}  // namespace

Announcer::Announcer(TargetStandin& target, const Endpoint& daemon,
                     std::string service, const Endpoint& address,
                     Duration period)
    : target_(target),
      daemon_(daemon),
      service_(std::move(service)),
      address_(address),
      period_(period),
      thread_([this] { Run(); }) {}

Announcer::~Announcer() {
  stopping_ = true;
  thread_.join();
}

void Announcer::Announce() {
  const TargetAnnouncement announcement = target_.Announcement();
  Json::Value body;
  body["service"] = service_;
  body["address"] = ToString(address_);
  body["slots"] = announcement.slots;
  body["state"] = announcement.state;
  HttpRequest request;
  request.method = "POST";
  request.path = "/-/announce";
  request.headers.Set("Content-Type", "application/json");
  request.body = ToJsonText(body);
  HttpClient client(daemon_);
  // A lost announcement is not retried: the next heartbeat repeats it.
  client.Exchange(request, kAnnounceTimeout, ConnectionUse::kFreshOnly)
      .has_value();
}

void Announcer::Run() {
  const SystemClock clock;
  MonoTime next = clock.Now();
  std::string announced;
  while (!stopping_) {
    const std::string state = target_.Announcement().state;
    if (state != announced || clock.Now() >= next) {
      Announce();
      announced = state;
      next = clock.Now() + period_;
    }
    target_.WaitForChange(std::min(period_, kMaxWait));
  }
}

}  // namespace cumin::test
