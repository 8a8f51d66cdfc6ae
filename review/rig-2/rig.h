#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** A request or a response of HTTP/1.1 whose body has a Content-Length. */
struct Message {
  std::string method;
  std::string target;
  /** 0 when there was no complete response. */
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /** @returns the first field of this name, or "" */
  std::string Get(const std::string& name) const;
  bool Has(const std::string& name) const;
};

/** A loopback address. */
struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** @returns the address with a port that is free now */
Address FreeAddress(const std::string& ip);

/** Sends one request on a connection of its own.
    @returns the response; its status is 0 without one */
Message Exchange(const Address& to, const Message& request,
                 std::chrono::milliseconds timeout);

/** Sends one request and closes the connection after a while, without reading a
    response. */
void SendAndLeave(const Address& to, const Message& request,
                  std::chrono::milliseconds after);

/** What a reader got of one response. */
struct Received {
  /** Bytes of the body. */
  std::size_t bytes = 0;
  /** Content-Length; 0 when no header came. */
  std::size_t length = 0;
  /** How the connection ended, if it ended first. */
  std::string end;
};

/** Sends requests one after the other on one connection with a small receive
    window. Reads nothing for a while after the first bytes of the last
   response.
    @param pause    zero to read on at once
    @param timeout  for each response
    @returns what came of the last response */
Received ExchangeWithPause(const Address& to,
                           const std::vector<Message>& requests,
                           std::chrono::milliseconds pause,
                           std::chrono::milliseconds timeout);

/** Serves HTTP/1.1 on a loopback address, one thread for each connection. */
class Server {
 public:
  using Handler = std::function<Message(const Message&)>;

  Server(Address listen, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const Address& address() const { return address_; }

 private:
  void Accept();
  void Serve(int fd);

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stops_{false};
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/** Writes what happened to a file, with the time since the start. */
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

  /** @returns the seconds since the start */
  double Now() const;

 private:
  std::ofstream file_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point began_;
};

/** The platform's store, as PROTOCOL.md describes it: items, pages, watches,
    conditional transactions and leases. */
class Store {
 public:
  explicit Store(const std::string& ip);

  /** Writes a key as the operator does. */
  void Put(const std::string& key, const std::string& value);

  /** Keeps a copy of the items as they are now. */
  void TakeCopy();
  /** From now on each call gets 503 and has no effect. */
  void GoAway();
  /** Comes back from the copy: what was written since is gone, leases too, and
      the era rises by one. */
  void ComeBackFromCopy();

  const Address& address() const { return server_->address(); }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::chrono::steady_clock::duration length{};
    std::chrono::steady_clock::time_point until;
  };

  Message Handle(const Message& request);
  Message Watch(const std::string& query);
  Message Transact(const std::string& body);
  Message HandleLease(const Message& request);
  void ExpireLeases();
  void SetKey(const std::string& key, const std::string& base64,
              std::uint64_t lease);
  void RemoveKey(const std::string& key);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  /** Keys by the revision that changed them. */
  std::map<std::uint64_t, std::string> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::string, Item> copy_;
  std::uint64_t copy_revision_ = 1;
  std::uint64_t first_revision_ = 0;
  std::uint64_t era_ = 1;
  bool is_away_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::unique_ptr<Server> server_;
};

/** A request that an upstream ran. */
struct Run {
  double at_s = 0;
  std::string upstream;
  std::string attempt;
  Message request;
};

/** A machine: an upstream, and the daemon beside it as a process. */
struct Machine {
  std::string name;
  std::string service;
  std::string zone;
  std::string region;
  /** The id of the upstream's present boot. */
  std::string instance;
  std::int64_t born_ms = 0;
  int sequence = 0;
  /** The upstream sends its status reports. */
  bool reports = true;
  Address outbound;
  Address peers;
  Address ready;
  Address control;
  Address app;
  std::unique_ptr<Server> upstream;
  std::string settings_path;
  pid_t pid = 0;
};

/** Runs the daemons of a small mesh with their stand-ins. */
class Mesh {
 public:
  /** @param folder  of the case; gets record.txt */
  explicit Mesh(const std::string& folder);
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /** Adds lines to the settings file of machines that are added later. */
  void AddSettings(const std::string& lines) { extra_settings_ += lines; }
  Machine& AddMachine(const std::string& service, const std::string& zone,
                      const std::string& region);

  void StartDaemon(Machine& machine);
  /** Kills the daemons at the same moment, and reaps them. */
  void KillDaemons(const std::vector<Machine*>& machines);
  /** Waits until the daemons are ready.
      @returns false when that takes too long */
  bool AwaitReady(std::chrono::milliseconds limit);

  /** Sends the next status report of the machine's upstream. */
  int Report(Machine& machine, const std::string& state);
  /** @returns the body of a status report of the machine's upstream */
  static std::string ReportBody(const Machine& machine,
                                const std::string& state, int sequence);
  /** Reports `ready` for each upstream that sends reports, at intervals. */
  void StartReports();

  /** Sends a request to the daemon of the machine as a requester does.
      @param more  header fields besides Host, X-Attempt-Id and X-Deadline-Ms
   */
  Message Call(const Machine& machine, const std::string& attempt,
               const std::string& method, const std::string& path,
               const std::vector<std::pair<std::string, std::string>>& more);

  /** Sets the size of the upstreams' answers. */
  void SetAnswerBytes(std::size_t n) { answer_bytes_ = n; }
  /** Sets how long the upstreams work on a request. */
  void SetWorkMs(int ms) { work_ms_ = ms; }
  /** Sets the bandwidth of machines that are added later. */
  void SetLinkMbps(int mbps) { link_mbps_ = mbps; }

  std::vector<Run> Runs();
  Store& store() { return store_; }
  Record& record() { return record_; }
  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }

  static constexpr char kHost[] = "desk.example";
  static constexpr std::chrono::milliseconds kBeat{870};

 private:
  Message RunRequest(Machine& machine, const Message& request);

  std::string ip_prefix_;
  std::string temp_;
  Record record_;
  Store store_;
  std::string extra_settings_;
  std::size_t answer_bytes_ = 0;
  std::atomic<int> work_ms_{20};
  int link_mbps_ = 1000;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::atomic<bool> stops_{false};
  std::thread reporter_;
};

/** @returns whether the disruption is to be left out (TROUBLE=0) */
bool IsCalm();

void SleepMs(int ms);

/** @returns the operator's configuration
    @param routes  rows of name, prefix, kind and service
    @param tenants  rows of name and key */
std::string Configuration(
    int version, const std::vector<std::vector<std::string>>& routes,
    const std::vector<std::pair<std::string, std::string>>& tenants);

}  // namespace review
