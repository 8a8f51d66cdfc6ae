#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the scripts of the review: clients, upstreams and the
    platform's store on loopback addresses, and the daemons as processes. */
namespace review {

/** Exit status of a script: the rule held, was broken, or was not tried. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/** @returns seconds since the program began, on the steady clock */
double Now();
void SleepUntil(double at);
void Sleep(double seconds);
/** @returns whether the script is to cause its disruption */
bool HasTrouble();

/** Writes what was sent, answered and run, a line each. Thread-safe. */
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  int file_ = -1;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** @returns a port that was free on the address a moment ago */
Address FreeAddress(const std::string& ip);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  /** Of a request; empty in a response. */
  std::string method;
  std::string target;
  /** Of a response. */
  int status = 0;
  Headers headers;
  std::string body;
  /** A handler's order to end the connection without a response. */
  bool is_dropped = false;

  std::string Get(const std::string& name) const;
};

/** A blocking HTTP/1.1 connection of a client. */
class Client {
 public:
  explicit Client(const Address& to);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool Send(const Message& request);
  /** @returns false when the connection ends, or the time is over, before the
      whole response is here */
  bool Receive(double timeout_s, bool has_body, Message* response);
  /** @returns bytes that arrive although no request is waiting */
  std::string UnaskedBytes(double wait_s);
  bool is_open() const { return socket_ >= 0; }
  void Close();

 private:
  int socket_ = -1;
  std::string buffer_;
};

/** One request on a new connection.
    @returns the response; its status is 0 when there was none */
Message Call(const Address& to, const Message& request, double timeout_s);

/** An HTTP/1.1 server with a thread for each connection. */
class Server {
 public:
  using Handler = std::function<Message(const Message&)>;
  Server(Address at, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start();
  /** Closes the listener and resets all connections, as an ended process. */
  void Stop();
  const Address& address() const { return address_; }
  /** Changes with each Stop. */
  int generation() const { return generation_; }

 private:
  void Accept(int listener);
  void Serve(int connection, int generation);

  const Address address_;
  const Handler handler_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
  std::atomic<int> generation_{0};
  std::vector<std::thread> threads_;
};

/** The platform's store: items, ranges, watches, transactions and leases. */
class Store {
 public:
  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /** Writes as the operator does. */
  void Put(const std::string& key, const std::string& value);
  /** @returns another address of the store, for one machine alone */
  Address AddGate();
  /** Turns the machine of this gate away without a response: nothing is done,
      and what waits is held until it is served again. */
  void SetSilent(const Address& gate, bool is_silent);
  /** @returns the gates at which a watch waits */
  std::set<int> WaitingWatches();

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  Message Handle(const Message& request, int gate);
  Message Answer(const Message& request, int gate);
  Message Read(const std::string& path, const std::string& query);
  Message Watch(const std::string& query, int gate);
  Message Change(const std::string& body);
  Message Lease(const Message& request);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, double> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  /** By port. */
  std::set<int> silent_;
  std::multiset<int> watches_;
  bool is_stopped_ = false;
  std::vector<std::unique_ptr<Server>> gates_;
};

struct Route {
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout_s = 4;
  int attempts = 2;
};

/** @returns op/config in the form of the users' page */
std::string Configuration(int version, const std::vector<Route>& routes,
                          const std::set<std::string>& services);

class Machine;

/** The upstream on a machine. */
class Upstream {
 public:
  struct Run {
    std::string attempt;
    std::string target;
    double at = 0;
    /** Whether the upstream answered it. */
    bool is_answered = false;
  };
  Upstream(Machine& machine, Record& record);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /** A new boot with a new id; its reports begin when it listens. */
  void Start();
  /** Ends at once; nothing that runs is answered. */
  void End();
  /** Ends the reports of state; the upstream serves on. */
  void StopReports() { is_reporting_ = false; }
  /** @returns the status of the response */
  int Report(const std::string& state);
  /** Makes a report now that the caller delivers later. */
  Message MakeReport(const std::string& state);
  /** Announces the end: DELETE. @returns the status of the response */
  int Leave();

  std::vector<Run> runs();
  /** Seconds of work of a request, by its path. */
  std::function<double(const std::string& target)> work;
  /** Whether a request ends the upstream; it is back after some seconds. */
  std::function<bool(const std::string& target)> is_crashing;
  double down_s = 2;

 private:
  Message Handle(const Message& request);

  Machine& machine_;
  Record& record_;
  Server server_;
  std::mutex mutex_;
  std::string instance_;
  std::int64_t born_ = 0;
  int boots_ = 0;
  int sequence_ = 0;
  std::vector<Run> runs_;
  std::atomic<bool> is_reporting_{false};
  std::atomic<bool> is_ended_{false};
  std::thread reports_;
  std::vector<std::thread> restarts_;
};

/** A machine: the daemon as a process, and its upstream. */
class Machine {
 public:
  Machine(int number, const std::string& service, const Address& store_gate,
          const std::string& folder, Record& record);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  bool StartDaemon();
  /** Sends a signal to the daemon. */
  void Signal(int number);
  /** @returns whether the daemon's process runs */
  bool IsRunning();
  bool IsReady();
  /** @returns the daemon's private memory in MiB, 0 without a process */
  double MemoryMb();
  void StopDaemon();

  const std::string name;
  const std::string service;
  const std::string ip;
  const Address outbound;
  const Address peers;
  const Address ready;
  const Address control;
  const Address app;
  /** Where this machine reaches the store. */
  const Address store;
  Upstream upstream;

 private:
  const std::string folder_;
  Record& record_;
  pid_t process_ = -1;
};

/** The whole small installation, in a temporary folder. */
class Installation {
 public:
  Installation(const std::string& record_path,
               const std::vector<std::string>& services);
  ~Installation();
  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  /** Starts all and waits until every daemon is ready.
      @returns false when that takes too long */
  bool Start(const std::string& configuration);
  bool AwaitReady(double timeout_s);
  /** Repeats a GET at each machine until it is answered with 200. */
  bool AwaitServed(const std::string& target, double timeout_s);

  Record record;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Machine>> machines;

 private:
  std::string folder_;
};

/** @returns a request with an id of its own and a time budget */
Message MakeRequest(const std::string& method, const std::string& target,
                    int deadline_ms, std::string body = "");

}  // namespace review
