#include "cumin_proxy/connection_pool.h"

#include <utility>

namespace cumin {

namespace {

constexpr std::size_t kMaxIdle = 32;

}  // namespace

ConnectionPool::ConnectionPool(const Clock& clock, MetricRegistry& metrics,
                               std::string probe_path)
    : clock_(clock),
      probe_path_(std::move(probe_path)),
      probes_(metrics.GetCounter("connection_probes_total")),
      replaced_(metrics.GetCounter("connections_replaced_total")) {}

Result<HttpResponse> ConnectionPool::Exchange(const Endpoint& server,
                                              const HttpRequest& request,
                                              Duration timeout,
                                              Repeatability repeatability) {
  const ConnectionUse use = repeatability == Repeatability::kIdempotent
                                ? ConnectionUse::kMayReuse
                                : ConnectionUse::kFreshOnly;
  Connection connection = Take(server, repeatability);
  const MonoTime sent_at = clock_.Now();
  Result<HttpResponse> response =
      connection.client->Exchange(request, timeout, use);
  if (response) {
    connection.times.used_at = clock_.Now();
    PutBack(std::move(connection));
  } else if (clock_.Now() - sent_at >= timeout) {
    NoteTimeout(connection, sent_at);
  }
  return response;
}

ConnectionPool::Connection ConnectionPool::Take(const Endpoint& server,
                                                Repeatability repeatability) {
  while (repeatability == Repeatability::kIdempotent) {
    ConnectionDecision decision = ConnectionDecision::kReplace;
    std::optional<Connection> idle = TakeIdle(server, repeatability, &decision);
    if (!idle) {
      break;
    }
    const bool is_trusted =
        decision == ConnectionDecision::kUse ||
        (decision == ConnectionDecision::kProbe && Probe(*idle));
    if (is_trusted) {
      return std::move(*idle);
    }
    replaced_.Add();
  }
  const MonoTime now = clock_.Now();
  return Connection{std::make_unique<HttpClient>(server),
                    ConnectionTimes{now, now}};
}

std::optional<ConnectionPool::Connection> ConnectionPool::TakeIdle(
    const Endpoint& server, Repeatability repeatability,
    ConnectionDecision* decision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Server& known = servers_[server];
  if (known.idle.empty()) {
    return std::nullopt;
  }
  Connection connection = std::move(known.idle.back());
  known.idle.pop_back();
  *decision =
      known.health.Decide(connection.times, repeatability, clock_.Now());
  return connection;
}

bool ConnectionPool::Probe(Connection& connection) {
  probes_.Add();
  HttpRequest request;
  request.path = probe_path_;
  const Result<HttpResponse> response = connection.client->Exchange(
      request, ConnectionHealth::ProbeTimeout(), ConnectionUse::kMayReuse);
  if (!response) {
    return false;
  }
  connection.times.used_at = clock_.Now();
  return true;
}

void ConnectionPool::PutBack(Connection connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Server& known = servers_[connection.client->server()];
  if (known.idle.size() < kMaxIdle) {
    known.idle.push_back(std::move(connection));
  }
}

void ConnectionPool::NoteTimeout(const Connection& connection,
                                 MonoTime sent_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  servers_[connection.client->server()].health.OnTimeout(connection.times,
                                                         sent_at);
}

}  // namespace cumin
