#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>  // NOLINT: kill is POSIX, not <csignal>.
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <sstream>

namespace review {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kPreconditionFailed = 412;
constexpr int kBacklog = 128;
constexpr std::size_t kReadBytes = 65536;
/** The receive buffer of a reader that pauses. */
constexpr int kWindowBytes = 65536;
constexpr std::size_t kPageItems = 500;
constexpr milliseconds kPoll{100};
constexpr milliseconds kReportTimeout{1000};
constexpr char kDaemon[] = "target/platform/cumind_platform";

sockaddr_in ToSocket(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string Encode(const Message& message, bool is_response) {
  std::ostringstream text;
  if (is_response) {
    text << "HTTP/1.1 " << message.status << " x\r\n";
  } else {
    text << message.method << " " << message.target << " HTTP/1.1\r\n";
  }
  for (const auto& [name, value] : message.headers) {
    text << name << ": " << value << "\r\n";
  }
  text << "Content-Length: " << message.body.size() << "\r\n\r\n"
       << message.body;
  return text.str();
}

/** Takes one message off the front of the buffer.
    @returns false while it is not complete */
bool TakeMessage(std::string& buffer, Message* out) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  Message message;
  std::istringstream head(buffer.substr(0, end));
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string version;
  if (line.rfind("HTTP/", 0) == 0) {
    first >> version >> message.status;
  } else {
    first >> message.method >> message.target >> version;
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    if (colon != std::string::npos) {
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  const std::size_t begin = end + 4;
  const std::size_t length =
      std::strtoull(message.Get("Content-Length").c_str(), nullptr, 10);
  if (buffer.size() < begin + length) {
    return false;
  }
  message.body = buffer.substr(begin, length);
  buffer.erase(0, begin + length);
  *out = std::move(message);
  return true;
}

/** Reads one message.
    @returns false when the connection ends first, or at the deadline */
bool ReadMessage(int fd, std::string& buffer, Clock::time_point deadline,
                 Message* out) {
  std::vector<char> chunk(kReadBytes);
  while (!TakeMessage(buffer, out)) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    if (left <= milliseconds::zero()) {
      return false;
    }
    timeval limit{};
    limit.tv_sec = left.count() / 1000;
    limit.tv_usec = (left.count() % 1000) * 1000;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
    if (n <= 0) {
      return false;
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(n));
  }
  return true;
}

Message Answer(int status, const Json::Value& body) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  Message message;
  message.status = status;
  message.headers.emplace_back("Content-Type", "application/json");
  message.body = Json::writeString(builder, body);
  return message;
}

Json::Value Parse(const std::string& text) {
  Json::Value value;
  std::istringstream in(text);
  std::string errors;
  if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &errors)) {
    return {Json::objectValue};
  }
  return value;
}

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool has_byte = i + j < bytes.size();
      group = group << 8U |
              (has_byte ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool has_digit = i + j <= bytes.size();
      out += has_digit ? kDigits[group >> (18U - 6U * j) & 63U] : '=';
    }
  }
  return out;
}

/** @returns the value of a parameter of a query, decoded */
std::string Parameter(const std::string& target, const std::string& name) {
  const std::string text = "&" + target.substr(target.find('?') + 1);
  const std::size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 2;
  const std::string value = text.substr(from, text.find('&', from) - from);
  std::string decoded;
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (value[i] == '%' && i + 2 < value.size()) {
      decoded += static_cast<char>(
          std::strtol(value.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += value[i];
    }
  }
  return decoded;
}

std::string MakeTempFolder() {
  std::string path = "/tmp/review-2-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? "" : path;
}

}  // namespace

std::string Message::Get(const std::string& name) const {
  for (const auto& [field, value] : headers) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

bool Message::Has(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& it) {
    return strcasecmp(it.first.c_str(), name.c_str()) == 0;
  });
}

Address FreeAddress(const std::string& ip) {
  Address address{ip, 0};
  const int fd = OpenSocket();
  sockaddr_in name = ToSocket(address);
  socklen_t size = sizeof(name);
  (void)bind(fd, reinterpret_cast<sockaddr*>(&name), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  close(fd);
  address.port = ntohs(name.sin_port);
  return address;
}

Message Exchange(const Address& to, const Message& request,
                 std::chrono::milliseconds timeout) {
  Message response;
  const int fd = OpenSocket();
  const sockaddr_in name = ToSocket(to);
  std::string buffer;
  const bool is_sent = connect(fd, reinterpret_cast<const sockaddr*>(&name),
                               sizeof(name)) == 0 &&
                       SendAll(fd, Encode(request, false));
  if (!is_sent || !ReadMessage(fd, buffer, Clock::now() + timeout, &response)) {
    response = Message();
  }
  close(fd);
  return response;
}

void SendAndLeave(const Address& to, const Message& request,
                  std::chrono::milliseconds after) {
  const int fd = OpenSocket();
  const sockaddr_in name = ToSocket(to);
  const bool is_sent = connect(fd, reinterpret_cast<const sockaddr*>(&name),
                               sizeof(name)) == 0 &&
                       SendAll(fd, Encode(request, false));
  if (is_sent) {
    std::this_thread::sleep_for(after);
  }
  close(fd);
}

namespace {

/** Reads one response.
    @param pause  without a read after the first bytes */
Received Receive(int fd, milliseconds pause, milliseconds timeout) {
  static constexpr char kLength[] = "Content-Length: ";
  Received received;
  const Clock::time_point until = Clock::now() + timeout;
  std::vector<char> chunk(kReadBytes);
  std::string buffer;
  std::size_t begin = 0;
  while (begin == 0 || received.bytes < received.length) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    timeval limit{};
    limit.tv_sec = std::max<std::int64_t>(1, left.count()) / 1000;
    limit.tv_usec = std::max<std::int64_t>(1, left.count()) % 1000 * 1000;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
    if (n <= 0) {
      received.end = n == 0 ? "closed" : std::strerror(errno);
      return received;
    }
    const bool is_first = buffer.empty();
    buffer.append(chunk.data(), static_cast<std::size_t>(n));
    const std::size_t end = buffer.find("\r\n\r\n");
    const std::size_t at = buffer.find(kLength);
    if (begin == 0 && end != std::string::npos && at < end) {
      begin = end + 4;
      received.length =
          std::strtoull(buffer.c_str() + at + sizeof(kLength) - 1, nullptr, 10);
    }
    received.bytes = begin == 0 ? 0 : buffer.size() - begin;
    if (is_first) {
      std::this_thread::sleep_for(pause);
    }
  }
  return received;
}

}  // namespace

Received ExchangeWithPause(const Address& to,
                           const std::vector<Message>& requests,
                           std::chrono::milliseconds pause,
                           std::chrono::milliseconds timeout) {
  Received received;
  const int fd = OpenSocket();
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof(kWindowBytes));
  const sockaddr_in name = ToSocket(to);
  const bool is_connected =
      connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const bool is_sent = is_connected && received.end.empty() &&
                         SendAll(fd, Encode(requests[i], false));
    const milliseconds wait =
        i + 1 == requests.size() ? pause : milliseconds::zero();
    received = is_sent ? Receive(fd, wait, timeout) : Received{};
  }
  close(fd);
  return received;
}

Server::Server(Address listen, Handler handler)
    : address_(std::move(listen)), handler_(std::move(handler)) {
  listener_ = OpenSocket();
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = ToSocket(address_);
  socklen_t size = sizeof(name);
  (void)bind(listener_, reinterpret_cast<sockaddr*>(&name), size);
  ::listen(listener_, kBacklog);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
  address_.port = ntohs(name.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stops_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int it : open_) {
      shutdown(it, SHUT_RDWR);
    }
  }
  for (std::thread& it : threads_) {
    it.join();
  }
}

void Server::Accept() {
  while (!stops_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  std::string buffer;
  Message request;
  while (!stops_ &&
         ReadMessage(fd, buffer, Clock::now() + std::chrono::seconds(60),
                     &request)) {
    if (!SendAll(fd, Encode(handler_(request), true))) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(std::find(open_.begin(), open_.end(), fd));
  close(fd);
}

Record::Record(const std::string& path) : file_(path), began_(Clock::now()) {}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - began_).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << std::fixed << std::setprecision(3) << Now() << " " << line
        << std::endl;
}

Store::Store(const std::string& ip) {
  server_ = std::make_unique<Server>(Address{ip, 0}, [this](const Message& it) {
    Message answer = Handle(it);
    const std::lock_guard<std::mutex> lock(mutex_);
    answer.headers.emplace_back("Store-Era", std::to_string(era_));
    return answer;
  });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  SetKey(key, ToBase64(value), 0);
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = items_;
  copy_revision_ = revision_;
}

void Store::GoAway() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_away_ = true;
  changed_.notify_all();
}

void Store::ComeBackFromCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_away_ = false;
  era_ += 1;
  items_.clear();
  for (const auto& [key, item] : copy_) {
    if (item.lease == 0) {
      items_[key] = item;
    }
  }
  changes_.clear();
  leases_.clear();
  revision_ = copy_revision_;
  first_revision_ = copy_revision_;
}

void Store::SetKey(const std::string& key, const std::string& base64,
                   std::uint64_t lease) {
  revision_ += 1;
  Item& item = items_[key];
  item.created = item.created == 0 ? revision_ : item.created;
  item.value = base64;
  item.revision = revision_;
  item.lease = lease;
  changes_[revision_] = key;
  changed_.notify_all();
}

void Store::RemoveKey(const std::string& key) {
  if (items_.erase(key) > 0) {
    revision_ += 1;
    changes_[revision_] = key;
    changed_.notify_all();
  }
}

void Store::ExpireLeases() {
  const Clock::time_point now = Clock::now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.until > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveKey(key);
    }
    it = leases_.erase(it);
  }
}

Message Store::Handle(const Message& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/kv-watch") {
    return Watch(request.target);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_away_) {
    return Answer(kUnavailable, Json::Value(Json::objectValue));
  }
  ExpireLeases();
  const auto row = [](const std::string& key, const Item& item) {
    Json::Value out;
    out["key"] = key;
    out["value"] = item.value;
    out["rev"] = Json::UInt64{item.revision};
    out["create-rev"] = Json::UInt64{item.created};
    out["lease"] = Json::UInt64{item.lease};
    return out;
  };
  if (path == "/kv-key") {
    const std::string key = Parameter(request.target, "key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
      return Answer(kNotFound, Json::Value(Json::objectValue));
    }
    Json::Value body = row(key, found->second);
    body["as-of"] = Json::UInt64{revision_};
    return Answer(kOk, body);
  }
  if (path == "/kv-range") {
    const std::string prefix = Parameter(request.target, "prefix");
    const std::string after = Parameter(request.target, "after");
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["has-more"] = false;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) != 0 || key <= after) {
        continue;
      }
      if (body["items"].size() >= kPageItems) {
        body["has-more"] = true;
        break;
      }
      body["items"].append(row(key, item));
    }
    body["as-of"] = Json::UInt64{revision_};
    return Answer(kOk, body);
  }
  return path == "/kv-txn" ? Transact(request.body) : HandleLease(request);
}

Message Store::Watch(const std::string& query) {
  const std::string prefix = Parameter(query, "prefix");
  const std::uint64_t after =
      std::strtoull(Parameter(query, "after").c_str(), nullptr, 10);
  const Clock::time_point until =
      Clock::now() +
      milliseconds(std::atoi(Parameter(query, "wait-ms").c_str()));
  std::unique_lock<std::mutex> lock(mutex_);
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (true) {
    if (is_away_) {
      return Answer(kUnavailable, Json::Value(Json::objectValue));
    }
    if (after < first_revision_ || after > revision_) {
      return Answer(kGone, Json::Value(Json::objectValue));
    }
    std::map<std::string, std::uint64_t> last;
    for (auto it = changes_.upper_bound(after); it != changes_.end(); ++it) {
      if (it->second.rfind(prefix, 0) == 0) {
        last[it->second] = it->first;
      }
    }
    for (const auto& [key, revision] : last) {
      Json::Value event;
      event["key"] = key;
      event["rev"] = Json::UInt64{revision};
      const auto found = items_.find(key);
      if (found == items_.end()) {
        event["tombstone"] = true;
      } else {
        event["value"] = found->second.value;
        event["create-rev"] = Json::UInt64{found->second.created};
        event["lease"] = Json::UInt64{found->second.lease};
      }
      body["events"].append(event);
    }
    if (!body["events"].empty() || Clock::now() >= until) {
      body["as-of"] = Json::UInt64{revision_};
      return Answer(kOk, body);
    }
    changed_.wait_for(lock, kPoll);
    ExpireLeases();
  }
}

Message Store::Transact(const std::string& text) {
  const Json::Value body = Parse(text);
  for (const Json::Value& it : body["precondition"]) {
    const auto found = items_.find(it["key"].asString());
    const std::uint64_t now =
        found == items_.end() ? 0 : found->second.revision;
    if (now != it["rev"].asUInt64()) {
      Json::Value answer;
      answer["items"] = Json::Value(Json::arrayValue);
      return Answer(kPreconditionFailed, answer);
    }
  }
  for (const Json::Value& it : body["set-keys"]) {
    const std::uint64_t lease = it["lease"].asUInt64();
    if (lease != 0 && leases_.count(lease) == 0) {
      return Answer(kNotFound, Json::Value(Json::objectValue));
    }
    SetKey(it["key"].asString(), it["value"].asString(), lease);
  }
  for (const Json::Value& it : body["delete"]) {
    RemoveKey(it.asString());
  }
  Json::Value answer;
  answer["rev"] = Json::UInt64{revision_};
  return Answer(kOk, answer);
}

Message Store::HandleLease(const Message& request) {
  Json::Value answer;
  if (request.target == "/kv-lease") {
    const double seconds = Parse(request.body)["ttl-s"].asDouble();
    Lease lease;
    lease.length = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(seconds));
    lease.until = Clock::now() + lease.length;
    answer["lease"] = Json::UInt64{next_lease_};
    answer["ttl-s"] = seconds;
    leases_[next_lease_++] = lease;
    return Answer(kOk, answer);
  }
  const std::uint64_t id = std::strtoull(
      request.target.substr(request.target.rfind('/') + 1).c_str(), nullptr,
      10);
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return Answer(kNotFound, Json::Value(Json::objectValue));
  }
  if (request.method == "DELETE") {
    found->second.until = Clock::time_point();
    ExpireLeases();
  } else {
    found->second.until = Clock::now() + found->second.length;
  }
  answer["ttl-s"] = 1;
  return Answer(kOk, answer);
}

Mesh::Mesh(const std::string& folder)
    : ip_prefix_("127." + std::to_string(1 + getpid() / 250 % 250) + "." +
                 std::to_string(1 + getpid() % 250) + "."),
      temp_(MakeTempFolder()),
      record_(folder + "/record.txt"),
      store_(ip_prefix_ + "250") {}

Mesh::~Mesh() {
  stops_ = true;
  if (reporter_.joinable()) {
    reporter_.join();
  }
  std::vector<Machine*> running;
  for (const auto& it : machines_) {
    running.push_back(it.get());
  }
  KillDaemons(running);
  for (const auto& it : machines_) {
    it->upstream.reset();
    unlink(it->settings_path.c_str());
    unlink((temp_ + "/" + it->name + ".log").c_str());
  }
  rmdir(temp_.c_str());
}

Machine& Mesh::AddMachine(const std::string& service, const std::string& zone,
                          const std::string& region) {
  machines_.push_back(std::make_unique<Machine>());
  Machine& machine = *machines_.back();
  const std::string number = std::to_string(machines_.size());
  const std::string ip = ip_prefix_ + number;
  machine.name = "side-" + number;
  machine.service = service;
  machine.zone = zone;
  machine.region = region;
  machine.instance = "i-" + number;
  machine.born_ms = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  machine.outbound = FreeAddress(ip);
  machine.peers = FreeAddress(ip);
  machine.ready = FreeAddress(ip);
  machine.control = FreeAddress(ip);
  machine.upstream = std::make_unique<Server>(
      Address{ip, 0},
      [this, &machine](const Message& it) { return RunRequest(machine, it); });
  machine.app = machine.upstream->address();
  machine.settings_path = temp_ + "/" + machine.name + ".yaml";
  std::ofstream(machine.settings_path)
      << "vm: " << machine.name << "\nregion: " << region
      << "\nfailure_domain: " << zone
      << "\ncallers: " << machine.outbound.Text()
      << "\npeers: " << machine.peers.Text()
      << "\nreadiness: " << machine.ready.Text()
      << "\nannouncements: " << machine.control.Text()
      << "\ntarget: " << machine.app.Text() << "\nservice: " << service
      << "\nstore: " << store_.address().Text()
      << "\nannounce_interval_s: 0.87\nleave_limit_s: 2.5\ngrace_s: 6"
         "\nretry_ratio: 0.2\nretry_slack: 56\nlink_mbps: "
      << link_mbps_ << "\nmemory_mb: 260\nmax_fds: 4100\nfirst_start: true\n"
      << extra_settings_;
  return machine;
}

void Mesh::StartDaemon(Machine& machine) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = temp_ + "/" + machine.name + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = kDaemon;
  std::string boot = "CUMINPROXY_BOOT=" + machine.settings_path;
  char* arguments[] = {program.data(), nullptr};
  char* environment[] = {boot.data(), nullptr};
  posix_spawn(&machine.pid, kDaemon, &actions, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  record_.Write("start " + machine.name);
}

void Mesh::KillDaemons(const std::vector<Machine*>& machines) {
  for (const Machine* it : machines) {
    if (it->pid > 0) {
      kill(it->pid, SIGKILL);
    }
  }
  for (Machine* it : machines) {
    if (it->pid > 0) {
      waitpid(it->pid, nullptr, 0);
      it->pid = 0;
      record_.Write("killed " + it->name);
    }
  }
}

bool Mesh::AwaitReady(std::chrono::milliseconds limit) {
  const Clock::time_point until = Clock::now() + limit;
  Message request;
  request.method = "GET";
  request.target = "/readyz";
  request.headers.emplace_back("Host", kHost);
  for (const auto& it : machines_) {
    while (Exchange(it->ready, request, kReportTimeout).status != kOk) {
      if (Clock::now() >= until) {
        return false;
      }
      SleepMs(20);
    }
  }
  record_.Write("all daemons are ready");
  return true;
}

std::string Mesh::ReportBody(const Machine& machine, const std::string& state,
                             int sequence) {
  Json::Value body;
  body["addr"] = machine.app.Text();
  body["born"] = Json::Int64{machine.born_ms};
  body["info"]["service"] = machine.service;
  body["info"]["version"] = "v1";
  body["info"]["zone"] = machine.zone;
  body["info"]["concurrency"] = 6;
  body["status"]["state"] = state;
  body["status"]["seq"] = sequence;
  body["status"]["cold-left-s"] = 0;
  return ToText(body);
}

int Mesh::Report(Machine& machine, const std::string& state) {
  Message request;
  request.method = "PUT";
  request.target = "/instances/" + machine.instance;
  request.headers.emplace_back("Host", machine.control.Text());
  request.headers.emplace_back("Content-Type", "application/json");
  request.body = ReportBody(machine, state, ++machine.sequence);
  return Exchange(machine.control, request, kReportTimeout).status;
}

void Mesh::StartReports() {
  reporter_ = std::thread([this] {
    while (!stops_) {
      for (const auto& it : machines_) {
        if (it->reports) {
          Report(*it, "ready");
        }
      }
      const Clock::time_point until = Clock::now() + kBeat;
      while (!stops_ && Clock::now() < until) {
        SleepMs(10);
      }
    }
  });
}

Message Mesh::RunRequest(Machine& machine, const Message& request) {
  Message answer;
  const std::string attempt = request.Get("X-Attempt-Id");
  answer.headers.emplace_back("X-Attempt-Id", attempt);
  const std::string wanted = request.Get("X-Target-Instance");
  if (!wanted.empty() && wanted != machine.instance) {
    answer.status = 421;
    answer.headers.emplace_back("X-Not-Executed", "1");
    return answer;
  }
  Run run;
  run.at_s = record_.Now();
  run.upstream = machine.instance;
  run.attempt = attempt;
  run.request = request;
  record_.Write("run " + attempt + " at " + machine.instance + " caller " +
                request.Get("X-Caller-Service") + " tenant '" +
                request.Get("X-Tenant") + "'");
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(run);
  }
  SleepMs(work_ms_);
  answer.status = kOk;
  answer.body = "done " + attempt;
  answer.body.resize(std::max(answer.body.size(), answer_bytes_), '.');
  answer.headers.emplace_back("X-Response-Signature", "sig-" + attempt);
  return answer;
}

Message Mesh::Call(
    const Machine& machine, const std::string& attempt,
    const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& more) {
  Message request;
  request.method = method;
  request.target = path;
  request.headers = {
      {"Host", kHost}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "3000"}};
  request.headers.insert(request.headers.end(), more.begin(), more.end());
  std::string line = "call " + attempt + " to " + machine.name;
  for (const auto& [name, value] : more) {
    line.append(" [").append(name).append(": ").append(value).append("]");
  }
  record_.Write(line);
  Message answer = Exchange(machine.outbound, request, std::chrono::seconds(4));
  record_.Write("answer " + attempt + " " + std::to_string(answer.status));
  return answer;
}

std::vector<Run> Mesh::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

bool IsCalm() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

std::string Configuration(
    int version, const std::vector<std::vector<std::string>>& routes,
    const std::vector<std::pair<std::string, std::string>>& tenants) {
  Json::Value document;
  document["version"] = "r" + std::to_string(version);
  document["resources"] = Json::Value(Json::arrayValue);
  const auto add = [&](const char* type, const std::string& name,
                       const Json::Value& spec) {
    Json::Value entry;
    entry["type"] = type;
    entry["metadata"]["name"] = name;
    entry["spec"] = spec;
    document["resources"].append(entry);
  };
  std::map<std::string, bool> services;
  for (const std::vector<std::string>& it : routes) {
    Json::Value spec;
    spec["host"] = Mesh::kHost;
    spec["prefix"] = it.at(1);
    spec["kind"] = it.at(2);
    spec["service"] = it.at(3);
    spec["attempts"] = 2;
    const bool is_upload = it.at(2) == "upload";
    spec["timeout-s"] = is_upload ? 8 : 3;
    spec["target-latency-s"] = is_upload ? 1.2 : 0.5;
    spec["priority"] = 1;
    add("routes", it.at(0), spec);
    services[it.at(3)] = true;
  }
  for (const auto& [name, known] : services) {
    add("services", name, Json::Value(Json::objectValue));
  }
  for (const auto& [name, key] : tenants) {
    Json::Value spec;
    spec["api-keys"].append(key);
    add("tenants", name, spec);
  }
  Json::Value limits;
  limits["max-header-bytes"] = 16384;
  limits["max-body-bytes"] = 1000000;
  limits["header-timeout-s"] = 3;
  limits["idle-timeout-s"] = 15;
  add("limits", "limits", limits);
  return ToText(document);
}

}  // namespace review
