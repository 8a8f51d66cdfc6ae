#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>  // NOLINT: kill is POSIX, not <csignal>.
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr double kLongWait = 30;
constexpr double kReportPeriod = 1.5;
constexpr char kHost[] = "shop.example";

std::chrono::steady_clock::time_point Began() {
  static const auto began = std::chrono::steady_clock::now();
  return began;
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** @returns the start of loopback addresses that differ between processes */
std::string OwnNetwork() {
  return "127." + std::to_string(1 + getpid() / 250 % 250) + "." +
         std::to_string(1 + getpid() % 250) + ".";
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/** Sends a reset instead of an orderly end when the socket is closed. */
void SetReset(int socket) {
  const linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/** Appends what arrives. @returns false at the end or after the time */
bool ReceiveSome(int socket, double until, std::string* buffer) {
  const double left = until - Now();
  if (left <= 0) {
    return false;
  }
  pollfd wait{socket, POLLIN, 0};
  if (poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    return false;
  }
  std::string part(std::size_t{256} * 1024, '\0');
  const ssize_t n = recv(socket, &part[0], part.size(), 0);
  if (n <= 0) {
    return false;
  }
  buffer->append(part, 0, static_cast<std::size_t>(n));
  return true;
}

/** Reads a message with Content-Length, or without a body. */
bool ReceiveMessage(int socket, double until, bool has_body,
                    std::string* buffer, Message* message) {
  std::size_t end = buffer->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReceiveSome(socket, until, buffer)) {
      return false;
    }
    end = buffer->find("\r\n\r\n");
  }
  std::istringstream head(buffer->substr(0, end));
  buffer->erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string word;
  first >> word;
  if (word.rfind("HTTP/1.", 0) == 0) {
    first >> message->status;
  } else {
    message->method = word;
    first >> message->target;
  }
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const std::size_t last = line.find_last_not_of("\r ");
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message->headers.emplace_back(line.substr(0, colon),
                                  value == std::string::npos || value > last
                                      ? ""
                                      : line.substr(value, last - value + 1));
  }
  const std::string length = message->Get("Content-Length");
  const std::size_t n =
      has_body ? std::strtoull(length.c_str(), nullptr, 10) : 0;
  while (buffer->size() < n) {
    if (!ReceiveSome(socket, until, buffer)) {
      return false;
    }
  }
  message->body = buffer->substr(0, n);
  buffer->erase(0, n);
  return true;
}

std::string ToText(const Message& message) {
  std::ostringstream text;
  if (message.method.empty()) {
    text << "HTTP/1.1 " << message.status << " Status\r\n";
  } else {
    text << message.method << ' ' << message.target << " HTTP/1.1\r\n";
  }
  for (const auto& it : message.headers) {
    text << it.first << ": " << it.second << "\r\n";
  }
  const bool has_length = message.method.empty() || !message.body.empty() ||
                          message.method == "POST" || message.method == "PUT";
  if (has_length) {
    text << "Content-Length: " << message.body.size() << "\r\n";
  }
  text << "\r\n";
  return text.str() + message.body;
}

Message MakeAnswer(int status, const std::string& body) {
  Message answer;
  answer.status = status;
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.body = body;
  return answer;
}

Message MakeAnswer(const Json::Value& body) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return MakeAnswer(200, Json::writeString(builder, body));
}

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  std::istringstream(text) >> value;
  return value;
}

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const auto byte = i + j < bytes.size()
                            ? static_cast<unsigned char>(bytes[i + j])
                            : static_cast<unsigned char>(0);
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char it : text) {
    std::uint32_t digit = 0;
    if (it >= 'A' && it <= 'Z') {
      digit = static_cast<std::uint32_t>(it - 'A');
    } else if (it >= 'a' && it <= 'z') {
      digit = static_cast<std::uint32_t>(it - 'a') + 26;
    } else if (it >= '0' && it <= '9') {
      digit = static_cast<std::uint32_t>(it - '0') + 52;
    } else if (it == '+' || it == '/') {
      digit = it == '+' ? 62 : 63;
    } else {
      break;
    }
    group = group << 6U | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return bytes;
}

/** @returns the decoded field of a query */
std::string QueryField(const std::string& query, const std::string& name) {
  std::istringstream fields(query);
  for (std::string it; std::getline(fields, it, '&');) {
    if (it.rfind(name + "=", 0) != 0) {
      continue;
    }
    std::string value;
    for (std::size_t i = name.size() + 1; i < it.size(); ++i) {
      if (it[i] == '%' && i + 2 < it.size()) {
        value += static_cast<char>(
            std::strtol(it.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += it[i];
      }
    }
    return value;
  }
  return "";
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       Began())
      .count();
}

void SleepUntil(double at) { Sleep(at - Now()); }

void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Record::Record(const std::string& path)
    : file_(
          open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

void Record::Write(const std::string& line) {
  char time[32];
  (void)std::snprintf(time, sizeof(time), "%8.3f ", Now());
  const std::string text = time + line + "\n";
  const std::lock_guard<std::mutex> lock(mutex_);
  (void)!write(file_, text.data(), text.size());
}

Address FreeAddress(const std::string& ip) {
  // The system may name a port again that nobody has bound yet.
  static std::set<int> given;
  Address address{ip, 0};
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in bound = ToSocketAddress(address);
  socklen_t size = sizeof(bound);
  if (bind(socket, reinterpret_cast<sockaddr*>(&bound), size) == 0 &&
      getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size) == 0) {
    address.port = ntohs(bound.sin_port);
  }
  close(socket);
  return given.insert(address.port).second ? address : FreeAddress(ip);
}

std::string Message::Get(const std::string& name) const {
  for (const auto& it : headers) {
    if (strcasecmp(it.first.c_str(), name.c_str()) == 0) {
      return it.second;
    }
  }
  return "";
}

Client::Client(const Address& to) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(to);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Close();
    return;
  }
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Client::~Client() { Close(); }

void Client::Close() {
  if (socket_ >= 0) {
    close(socket_);
    socket_ = -1;
  }
}

bool Client::Send(const Message& request) {
  return is_open() && SendAll(socket_, ToText(request));
}

bool Client::Receive(double timeout_s, bool has_body, Message* response) {
  return is_open() && ReceiveMessage(socket_, Now() + timeout_s, has_body,
                                     &buffer_, response);
}

std::string Client::UnaskedBytes(double wait_s) {
  const double until = Now() + wait_s;
  while (is_open() && ReceiveSome(socket_, until, &buffer_)) {
  }
  return buffer_;
}

Message Call(const Address& to, const Message& request, double timeout_s) {
  Client client(to);
  Message response;
  if (!client.Send(request) ||
      !client.Receive(timeout_s, request.method != "HEAD", &response)) {
    return Message();
  }
  return response;
}

Server::Server(Address at, Handler handler)
    : address_(std::move(at)), handler_(std::move(handler)) {}

Server::~Server() {
  Stop();
  for (std::thread& it : threads_) {
    it.join();
  }
}

bool Server::Start() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(address_);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = listener;
  threads_.emplace_back([this, listener] { Accept(listener); });
  return true;
}

void Server::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  generation_ += 1;
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
  }
  for (const int it : connections_) {
    SetReset(it);
    shutdown(it, SHUT_RDWR);
  }
}

void Server::Accept(int listener) {
  while (true) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      close(listener);
      return;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ != listener) {
      close(connection);
      continue;
    }
    connections_.insert(connection);
    const int generation = generation_;
    threads_.emplace_back(
        [this, connection, generation] { Serve(connection, generation); });
  }
}

void Server::Serve(int connection, int generation) {
  std::string buffer;
  while (generation == generation_) {
    Message request;
    if (!ReceiveMessage(connection, Now() + kLongWait, true, &buffer,
                        &request)) {
      break;
    }
    const Message answer = handler_(request);
    const bool is_over = answer.is_dropped || generation != generation_;
    if (is_over || !SendAll(connection, ToText(answer))) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
  close(connection);
}

Store::Store() = default;

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
}

Address Store::AddGate() {
  // Not 127.0.0.1, where the ports of outgoing connections are.
  const Address gate = FreeAddress(OwnNetwork() + "250");
  gates_.push_back(
      std::make_unique<Server>(gate, [this, gate](const Message& request) {
        return Handle(request, gate.port);
      }));
  if (!gates_.back()->Start()) {
    return Address();
  }
  return gate;
}

void Store::SetSilent(const Address& gate, bool is_silent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_silent) {
    silent_.insert(gate.port);
  } else {
    silent_.erase(gate.port);
  }
  changed_.notify_all();
}

std::set<int> Store::WaitingWatches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::set<int>(watches_.begin(), watches_.end());
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? item.revision : item.created;
  changed_.notify_all();
}

Message Store::Handle(const Message& request, int gate) {
  const auto is_served = [&] {
    return silent_.count(gate) == 0 || is_stopped_;
  };
  {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!is_served()) {
      // Nothing is done; the caller gives up long before the end.
      changed_.wait(lock, is_served);
      Message none;
      none.is_dropped = true;
      return none;
    }
  }
  Message answer = Answer(request, gate);
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, is_served);
  return answer;
}

Message Store::Answer(const Message& request, int gate) {
  const std::size_t mark = request.target.find('?');
  const std::string path = request.target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : request.target.substr(mark + 1);
  if (path == "/kv-watch") {
    return Watch(query, gate);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = items_.begin(); it != items_.end();) {
    const bool has_ended =
        it->second.lease != 0 && (leases_.count(it->second.lease) == 0 ||
                                  leases_[it->second.lease] < Now());
    it = has_ended ? items_.erase(it) : std::next(it);
  }
  if (path == "/kv-key" || path == "/kv-range") {
    return Read(path, query);
  }
  return path == "/kv-txn" ? Change(request.body) : Lease(request);
}

Message Store::Read(const std::string& path, const std::string& query) {
  const bool is_range = path == "/kv-range";
  const std::string key = QueryField(query, is_range ? "prefix" : "key");
  Json::Value items(Json::arrayValue);
  for (const auto& it : items_) {
    const bool is_wanted = is_range ? it.first.rfind(key, 0) == 0 &&
                                          it.first > QueryField(query, "after")
                                    : it.first == key;
    if (is_wanted) {
      Json::Value item;
      item["key"] = it.first;
      item["value"] = ToBase64(it.second.value);
      item["rev"] = Json::UInt64{it.second.revision};
      item["create-rev"] = Json::UInt64{it.second.created};
      item["lease"] = Json::UInt64{it.second.lease};
      items.append(item);
    }
  }
  if (!is_range) {
    if (items.empty()) {
      return MakeAnswer(404, "{}");
    }
    items[0]["as-of"] = Json::UInt64{revision_};
    return MakeAnswer(items[0]);
  }
  Json::Value answer;
  answer["items"] = items;
  answer["has-more"] = false;
  answer["as-of"] = Json::UInt64{revision_};
  return MakeAnswer(answer);
}

Message Store::Watch(const std::string& query, int gate) {
  const std::string prefix = QueryField(query, "prefix");
  const std::uint64_t after =
      std::strtoull(QueryField(query, "after").c_str(), nullptr, 10);
  const double wait_s =
      std::strtod(QueryField(query, "wait-ms").c_str(), nullptr) / 1000;
  const double until = Now() + wait_s;
  std::unique_lock<std::mutex> lock(mutex_);
  const auto waiting = watches_.insert(gate);
  Json::Value events(Json::arrayValue);
  while (!is_stopped_) {
    for (const auto& it : items_) {
      if (it.first.rfind(prefix, 0) == 0 && it.second.revision > after) {
        Json::Value event;
        event["key"] = it.first;
        event["value"] = ToBase64(it.second.value);
        event["rev"] = Json::UInt64{it.second.revision};
        event["create-rev"] = Json::UInt64{it.second.created};
        event["lease"] = Json::UInt64{it.second.lease};
        events.append(event);
      }
    }
    if (!events.empty() || Now() >= until) {
      break;
    }
    changed_.wait_for(lock, std::chrono::duration<double>(until - Now()));
  }
  watches_.erase(waiting);
  Json::Value answer;
  answer["events"] = events;
  answer["as-of"] = Json::UInt64{revision_};
  return MakeAnswer(answer);
}

Message Store::Change(const std::string& body) {
  const Json::Value change = ParseJson(body);
  for (const Json::Value& it : change["precondition"]) {
    const auto found = items_.find(it["key"].asString());
    const std::uint64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    if (revision != it["rev"].asUInt64()) {
      return MakeAnswer(412, "{\"items\":[]}");
    }
  }
  for (const Json::Value& it : change["set-keys"]) {
    const std::uint64_t lease = it["lease"].asUInt64();
    if (lease != 0 && leases_.count(lease) == 0) {
      return MakeAnswer(404, "{}");
    }
  }
  ++revision_;
  for (const Json::Value& it : change["set-keys"]) {
    Item& item = items_[it["key"].asString()];
    item.value = FromBase64(it["value"].asString());
    item.lease = it["lease"].asUInt64();
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
  }
  for (const Json::Value& it : change["delete"]) {
    items_.erase(it.asString());
  }
  changed_.notify_all();
  Json::Value answer;
  answer["rev"] = Json::UInt64{revision_};
  return MakeAnswer(answer);
}

Message Store::Lease(const Message& request) {
  if (request.target == "/kv-lease") {
    const double length = ParseJson(request.body)["ttl-s"].asDouble();
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = Now() + length;
    Json::Value answer;
    answer["lease"] = Json::UInt64{lease};
    answer["ttl-s"] = length;
    return MakeAnswer(answer);
  }
  const std::uint64_t lease = std::strtoull(
      request.target.substr(request.target.rfind('/') + 1).c_str(), nullptr,
      10);
  if (leases_.count(lease) == 0) {
    return MakeAnswer(404, "{}");
  }
  if (request.method == "DELETE") {
    leases_.erase(lease);
    return MakeAnswer(200, "{}");
  }
  leases_[lease] = Now() + kLongWait;
  return MakeAnswer(200, "{\"ttl-s\":30}");
}

std::string Configuration(int version, const std::vector<Route>& routes,
                          const std::set<std::string>& services) {
  Json::Value resources(Json::arrayValue);
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& it = routes[i];
    Json::Value route;
    route["type"] = "routes";
    route["metadata"]["name"] = "r-" + std::to_string(i);
    Json::Value& spec = route["spec"];
    spec["host"] = kHost;
    spec["prefix"] = it.prefix;
    spec["kind"] = it.kind;
    spec["timeout-s"] = it.timeout_s;
    spec["target-latency-s"] = 0.6;
    spec["priority"] = 1;
    spec["service"] = it.service;
    spec["attempts"] = it.attempts;
    resources.append(route);
  }
  for (const std::string& it : services) {
    Json::Value service;
    service["type"] = "services";
    service["metadata"]["name"] = it;
    service["spec"]["health-path"] = "/healthz";
    service["spec"]["max-conns"] = 130;
    service["spec"]["proto"] = "h1";
    service["spec"]["tls"] = false;
    resources.append(service);
  }
  Json::Value limits;
  limits["type"] = "limits";
  limits["metadata"] = Json::Value(Json::objectValue);
  limits["spec"]["max-header-bytes"] = 16384;
  limits["spec"]["max-body-bytes"] = 67108864;
  limits["spec"]["header-timeout-s"] = 3;
  limits["spec"]["idle-timeout-s"] = 15;
  resources.append(limits);
  Json::Value root;
  root["version"] = "r" + std::to_string(version);
  root["base-version"] = "r0";
  root["resources"] = resources;
  return MakeAnswer(root).body;
}

Upstream::Upstream(Machine& machine, Record& record)
    : machine_(machine),
      record_(record),
      server_(machine.app,
              [this](const Message& request) { return Handle(request); }) {}

Upstream::~Upstream() {
  is_reporting_ = false;
  is_ended_ = true;
  server_.Stop();
  if (reports_.joinable()) {
    reports_.join();
  }
  std::vector<std::thread> restarts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    restarts.swap(restarts_);
  }
  for (std::thread& it : restarts) {
    it.join();
  }
}

void Upstream::Start() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    boots_ += 1;
    sequence_ = 0;
    instance_ = "i-" + machine_.name + "-" + std::to_string(boots_);
    born_ = UnixMillis();
  }
  server_.Start();
  is_reporting_ = true;
  if (!reports_.joinable()) {
    reports_ = std::thread([this] {
      double next = Now();
      while (!is_ended_) {
        if (is_reporting_ && Now() >= next) {
          (void)Report("ready");
          next = Now() + kReportPeriod;
        }
        Sleep(0.05);
      }
    });
  }
}

void Upstream::End() {
  is_reporting_ = false;
  server_.Stop();
}

Message Upstream::MakeReport(const std::string& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json::Value body;
  body["addr"] = machine_.app.Text();
  body["born"] = Json::Int64{born_};
  body["info"]["service"] = machine_.service;
  body["info"]["version"] = "v1";
  body["info"]["zone"] = "zone-a";
  body["info"]["concurrency"] = 12;
  body["status"]["state"] = state;
  body["status"]["seq"] = ++sequence_;
  body["status"]["cold-left-s"] = 0;
  Message report;
  report.method = "PUT";
  report.target = "/instances/" + instance_;
  report.headers.emplace_back("Host", "control");
  report.headers.emplace_back("Content-Type", "application/json");
  report.body = MakeAnswer(body).body;
  return report;
}

int Upstream::Report(const std::string& state) {
  return Call(machine_.control, MakeReport(state), 1).status;
}

int Upstream::Leave() {
  is_reporting_ = false;
  Message leave;
  leave.method = "DELETE";
  leave.headers.emplace_back("Host", "control");
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    leave.target = "/instances/" + instance_;
  }
  return Call(machine_.control, leave, 1).status;
}

std::vector<Upstream::Run> Upstream::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

Message Upstream::Handle(const Message& request) {
  const std::string attempt = request.Get("X-Attempt-Id");
  const int generation = server_.generation();
  Message answer;
  answer.headers.emplace_back("X-Attempt-Id", attempt);
  std::size_t run = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer.headers.emplace_back("X-Instance-Id", instance_);
    if (request.target == "/healthz") {
      answer.status = 200;
      return answer;
    }
    const std::string expected = request.Get("X-Target-Instance");
    const bool is_other = !expected.empty() && expected != instance_;
    if (is_other || attempt.empty()) {
      answer.status = is_other ? 421 : 400;
      answer.headers.emplace_back("X-Not-Executed", "1");
      return answer;
    }
    run = runs_.size();
    runs_.push_back(Run{attempt, request.target, Now(), false});
  }
  record_.Write("run " + attempt + " " + request.method + " " + request.target +
                " body " + std::to_string(request.body.size()) + " at " +
                instance_);
  if (is_crashing && is_crashing(request.target)) {
    record_.Write("crash of " + instance_ + " under " + attempt);
    End();
    const std::lock_guard<std::mutex> lock(mutex_);
    restarts_.emplace_back([this] {
      const double until = Now() + down_s;
      while (!is_ended_ && Now() < until) {
        Sleep(0.05);
      }
      if (!is_ended_) {
        Start();
      }
    });
    answer.is_dropped = true;
    return answer;
  }
  Sleep(work ? work(request.target) : 0.02);
  if (generation != server_.generation()) {
    answer.is_dropped = true;
    return answer;
  }
  answer.status = 200;
  answer.headers.emplace_back("X-Response-Signature", "signature-" + attempt);
  answer.body = request.method == "HEAD" ? "" : "answer to " + attempt;
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[run].is_answered = true;
  return answer;
}

Machine::Machine(int number, const std::string& service_name,
                 const Address& store_gate, const std::string& folder,
                 Record& record)
    : name("vm-" + std::to_string(number)),
      service(service_name),
      ip(OwnNetwork() + std::to_string(number + 1)),
      outbound(FreeAddress(ip)),
      peers(FreeAddress(ip)),
      ready(FreeAddress(ip)),
      control(FreeAddress(ip)),
      app(FreeAddress(ip)),
      store(store_gate),
      upstream(*this, record),
      folder_(folder),
      record_(record) {
  std::ofstream settings(folder_ + "/" + name + ".yaml");
  settings << "vm: " << name << "\nregion: region-1\nfailure_domain: zone-a"
           << "\ncallers: " << outbound.Text() << "\npeers: " << peers.Text()
           << "\nreadiness: " << ready.Text()
           << "\nannouncements: " << control.Text()
           << "\ntarget: " << app.Text() << "\nservice: " << service
           << "\nstore: " << store.Text() << "\nannounce_interval_s: 1.5"
           << "\nleave_limit_s: 2.5\ngrace_s: 6\nretry_ratio: 0.2"
           << "\nretry_slack: 64\nlink_mbps: 1000.0\nmemory_mb: 260\n";
}

Machine::~Machine() { StopDaemon(); }

bool Machine::StartDaemon() {
  StopDaemon();
  const std::string settings = folder_ + "/" + name + ".yaml";
  const std::string output = folder_ + "/" + name + ".out";
  static constexpr char kProgram[] = "target/platform/cumind_platform";
  process_ = fork();
  if (process_ == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl(kProgram, kProgram, settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  record_.Write("start of the daemon of " + name);
  return process_ > 0;
}

void Machine::Signal(int number) {
  if (process_ > 0) {
    record_.Write("signal " + std::to_string(number) + " to the daemon of " +
                  name);
    kill(process_, number);
  }
}

bool Machine::IsRunning() {
  if (process_ <= 0) {
    return false;
  }
  if (waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ > 0;
}

bool Machine::IsReady() {
  Message request;
  request.method = "GET";
  request.target = "/readyz";
  request.headers.emplace_back("Host", "ready");
  return Call(ready, request, 1).status == 200;
}

double Machine::MemoryMb() {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::strtod(line.c_str() + 8, nullptr) / 1024;
    }
  }
  return 0;
}

void Machine::StopDaemon() {
  if (process_ > 0) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
}

Installation::Installation(const std::string& record_path,
                           const std::vector<std::string>& services)
    : record(record_path) {
  (void)Now();
  char folder[] = "/tmp/cumin-review-XXXXXX";
  folder_ = mkdtemp(folder) == nullptr ? "/tmp" : folder;
  store = std::make_unique<Store>();
  for (const std::string& it : services) {
    machines.push_back(
        std::make_unique<Machine>(static_cast<int>(machines.size()), it,
                                  store->AddGate(), folder_, record));
  }
}

Installation::~Installation() {
  for (const auto& it : machines) {
    it->StopDaemon();
  }
  if (std::getenv("KEEP") != nullptr || folder_ == "/tmp") {
    record.Write("logs are in " + folder_);
    return;
  }
  for (const auto& it : machines) {
    (void)std::remove((folder_ + "/" + it->name + ".yaml").c_str());
    (void)std::remove((folder_ + "/" + it->name + ".out").c_str());
  }
  (void)rmdir(folder_.c_str());
}

bool Installation::Start(const std::string& configuration) {
  store->Put("op/config", configuration);
  for (const auto& it : machines) {
    if (!it->StartDaemon()) {
      return false;
    }
    it->upstream.Start();
  }
  return AwaitReady(15);
}

bool Installation::AwaitReady(double timeout_s) {
  const double until = Now() + timeout_s;
  for (const auto& it : machines) {
    while (!it->IsReady()) {
      if (Now() > until) {
        record.Write("the daemon of " + it->name + " is not ready");
        return false;
      }
      Sleep(0.05);
    }
  }
  return true;
}

bool Installation::AwaitServed(const std::string& target, double timeout_s) {
  const double until = Now() + timeout_s;
  for (const auto& it : machines) {
    while (Call(it->outbound, MakeRequest("GET", target, 2000), 3).status !=
           200) {
      if (Now() > until) {
        record.Write("no answer at " + it->name + " to " + target);
        return false;
      }
      Sleep(0.1);
    }
  }
  return true;
}

Message MakeRequest(const std::string& method, const std::string& target,
                    int deadline_ms, std::string body) {
  static std::atomic<int> next{1};
  char id[32];
  (void)std::snprintf(id, sizeof(id), "%08x%08x",
                      static_cast<unsigned>(getpid()),
                      static_cast<unsigned>(next++));
  Message request;
  request.method = method;
  request.target = target;
  request.headers.emplace_back("Host", kHost);
  request.headers.emplace_back("X-Attempt-Id", id);
  request.headers.emplace_back("X-Deadline-Ms", std::to_string(deadline_ms));
  request.body = std::move(body);
  return request;
}

}  // namespace review
