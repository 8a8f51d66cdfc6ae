#include "cumin_daemon/suspect_agent.h"

#include <charconv>
#include <utility>

#include "cumin_admission/suspect_codec.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr Duration kPushTimeout = std::chrono::milliseconds(500);
constexpr int kPushTries = 3;
/** Between two tries, and between exchanges after digests that differ. */
constexpr Duration kExchangeInterval = std::chrono::milliseconds(500);
/** Tries to write a quarantine to the store, and the time between two. */
constexpr int kKeepTries = 20;
constexpr Duration kKeepInterval = std::chrono::seconds(2);
constexpr int kHexBase = 16;

/** @returns the crashes as "VM at Unix time" each */
std::string DescribeCrashes(const SuspectRecord& record) {
  std::string text;
  for (const SuspectCrash& it : record.crashes) {
    text += (text.empty() ? "" : ", ") + it.crash.vm.str() + " at " +
            std::to_string(it.crash.sequence);
  }
  return text;
}

std::optional<RequestFingerprint> ParseFingerprint(const std::string& text) {
  RequestFingerprint fingerprint;
  const char* const end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, fingerprint.value, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return fingerprint;
}

}  // namespace

SuspectAgent::SuspectAgent(DaemonContext& context, PeerClient& peers,
                           FleetAgent& fleet, AsyncStore& store)
    : context_(context), peers_(peers), fleet_(fleet), store_(store) {}

void SuspectAgent::OnTargetCrash(const std::vector<SuspectRecord>& suspects) {
  for (const SuspectRecord& it : suspects) {
    if (it.IsQuarantined()) {
      LogQuarantine(it, "own target");
      asio::co_spawn(context_.executor, Keep(it), asio::detached);
    }
  }
  const std::string body = ToJsonText(EncodeSuspects(suspects));
  for (const Member& it : fleet_.PeersOfService(context_.settings.service)) {
    asio::co_spawn(context_.executor, Push(it.endpoint, body), asio::detached);
  }
}

void SuspectAgent::OnCompose(GossipMessage& message) {
  message.quarantine_digest = context_.suspects.ProvedDigest();
}

void SuspectAgent::OnMessage(const GossipMessage& message) {
  const MonoTime now = context_.clock.Now();
  const bool differs =
      message.quarantine_digest != context_.suspects.ProvedDigest();
  const Member* const peer = differs ? fleet_.Find(message.from) : nullptr;
  if (peer == nullptr || is_exchanging_ || now < next_exchange_) {
    return;
  }
  is_exchanging_ = true;
  next_exchange_ = now + kExchangeInterval;
  asio::co_spawn(context_.executor, ExchangeProved(peer->endpoint),
                 asio::detached);
}

Result<std::string> SuspectAgent::OnRecords(const std::string& body) {
  const Result<std::vector<SuspectRecord>> records =
      ParseSuspects(body, "peer");
  if (!records) {
    return records.error();
  }
  Import(records.value());
  return ToJsonText(
      EncodeSuspects(context_.suspects.ExportProved(context_.clock.Now())));
}

std::string SuspectAgent::ListQuarantined() const {
  Json::Value list(Json::arrayValue);
  for (const SuspectRecord& it :
       context_.suspects.ExportProved(context_.clock.Now())) {
    Json::Value entry;
    entry["fingerprint"] = ToString(it.fingerprint);
    entry["state"] = it.IsQuarantined() ? "quarantined" : "lifted";
    entry["crashes"] = DescribeCrashes(it);
    entry["ends_in_ms"] = Json::Int64{ToMillis(it.remaining)};
    list.append(entry);
  }
  return ToJsonText(list) + "\n";
}

bool SuspectAgent::Lift(const std::string& fingerprint) {
  const std::optional<RequestFingerprint> parsed =
      ParseFingerprint(fingerprint);
  if (!parsed || !context_.suspects.Lift(*parsed, context_.clock.WallNow())) {
    return false;
  }
  context_.log.Write(
      EventLine("quarantine-lifted").With("fingerprint", fingerprint));
  return true;
}

Task<void> SuspectAgent::Keep(SuspectRecord record) {
  const std::string key = kQuarantineKeyPrefix + ToString(record.fingerprint);
  const std::string value = ToJsonText(EncodeSuspects({record}));
  for (int i = 0; i < kKeepTries; ++i) {
    const Result<LeaseId> lease = co_await store_.GrantLease(record.remaining);
    if (lease) {
      const Result<std::uint64_t> put =
          co_await store_.Put(key, value, lease.value());
      if (put) {
        co_return;
      }
    }
    co_await SleepFor(kKeepInterval);
  }
  context_.log.Write(EventLine("quarantine-not-kept")
                         .With("fingerprint", ToString(record.fingerprint)));
}

void SuspectAgent::OnKept(const std::string& value) {
  const Result<std::vector<SuspectRecord>> records =
      ParseSuspects(value, kQuarantineKeyPrefix);
  if (records) {
    Import(records.value());
  } else {
    context_.log.Write(EventLine("quarantine-not-read")
                           .With("error", Describe(records.error())));
  }
}

Task<void> SuspectAgent::Push(Endpoint peer, std::string body) {
  bool was_taken = false;
  for (int i = 0; i < kPushTries && !was_taken; ++i) {
    if (i > 0) {
      co_await SleepFor(kExchangeInterval);
    }
    was_taken = co_await Exchange(peer, body);
  }
  context_.metrics.CountSuspectPush(was_taken ? "taken" : "failed");
}

Task<bool> SuspectAgent::Exchange(Endpoint peer, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = kSuspectsPath;
  request.body = std::move(body);
  const Result<HttpResponse> answer =
      co_await peers_.Send(peer, std::move(request), kPushTimeout);
  const Result<std::vector<SuspectRecord>> records =
      answer ? ParseSuspects(answer.value().body, ToString(peer))
             : Result<std::vector<SuspectRecord>>(answer.error());
  if (!records) {
    context_.log.Write(EventLine("suspects-not-exchanged")
                           .With("peer", ToString(peer))
                           .With("error", Describe(records.error())));
    co_return false;
  }
  Import(records.value());
  co_return true;
}

Task<void> SuspectAgent::ExchangeProved(Endpoint peer) {
  std::string body = ToJsonText(
      EncodeSuspects(context_.suspects.ExportProved(context_.clock.Now())));
  (void)co_await Exchange(peer, std::move(body));
  is_exchanging_ = false;
}

void SuspectAgent::Import(const std::vector<SuspectRecord>& records) {
  const MonoTime now = context_.clock.Now();
  for (const SuspectRecord& it : records) {
    const bool is_new = context_.suspects.Import(it, now);
    if (is_new) {
      LogQuarantine(it, "peer");
    }
  }
}

void SuspectAgent::LogQuarantine(const SuspectRecord& record,
                                 const char* source) {
  context_.log.Write(EventLine("request-quarantined")
                         .With("fingerprint", ToString(record.fingerprint))
                         .With("source", source)
                         .With("crashes", DescribeCrashes(record))
                         .With("ends_in_ms", record.remaining));
}

}  // namespace cumin
