#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

#include "cumin_config/customer.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/ref_counted.h"
#include "cumin_core/time.h"

namespace cumin {

/** Whether a route's calls may be repeated on another target. */
enum class RouteKind {
  kIdempotent,
  /** Runs at most once per attempt of the caller. */
  kAtMostOnce,
  /** Idempotent with large responses. */
  kDownload,
  /** At most once, with large requests. */
  kUpload,
};

/** @returns true for a kind whose calls run at most once per attempt of the
    caller */
inline bool RunsAtMostOnce(RouteKind kind) {
  return kind == RouteKind::kAtMostOnce || kind == RouteKind::kUpload;
}

/** @returns true for a kind with large requests or responses */
inline bool IsLarge(RouteKind kind) {
  return kind == RouteKind::kDownload || kind == RouteKind::kUpload;
}

/** @returns "idempotent", "at-most-once", "download" or "upload" */
const char* ToString(RouteKind kind);

std::ostream& operator<<(std::ostream& out, RouteKind kind);

/** A service that receives a fraction of a route's traffic. */
struct WeightedService {
  ServiceId service;
  /** Relative to the sum of the weights of the route. */
  int weight = 1;

  friend bool operator==(const WeightedService& a, const WeightedService& b) {
    return a.service == b.service && a.weight == b.weight;
  }
};

/** Services and limits for calls to one host and path prefix. */
struct Route {
  std::string name;
  std::string host;
  /** Begins and ends with '/'. */
  std::string prefix;
  RouteKind kind = RouteKind::kIdempotent;
  /** Maximum number of targets that one attempt of the caller is sent to, at
      least 1. */
  int attempts = 1;
  /** Maximum time that a caller waits for the response. */
  Duration timeout{0};
  /** Response time within which a response has its full value to the caller. */
  Duration target_latency{0};
  /** 0 is the most urgent. */
  int priority = 0;
  /** Requests need no customer's key. */
  bool is_public = false;
  /** Not empty, with a positive sum of weights. */
  std::vector<WeightedService> services;

  /** @returns true if a call may be sent to a second target although the first
      may have run it */
  bool IsRepeatable() const { return !RunsAtMostOnce(kind); }

  friend bool operator==(const Route& a, const Route& b) {
    return a.name == b.name && a.host == b.host && a.prefix == b.prefix &&
           a.kind == b.kind && a.attempts == b.attempts &&
           a.timeout == b.timeout && a.target_latency == b.target_latency &&
           a.priority == b.priority && a.is_public == b.is_public &&
           a.services == b.services;
  }
};

/** Limits on callers' requests and connections. */
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits& a, const CallerLimits& b) {
    return a.max_header_bytes == b.max_header_bytes &&
           a.max_body_bytes == b.max_body_bytes &&
           a.header_timeout == b.header_timeout &&
           a.idle_timeout == b.idle_timeout;
  }
};

/** The content of one version of the route table, not yet validated. */
struct RouteDocument {
  /** Increases with each version, not necessarily by 1. */
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceId> services;
  /** None when requests need no keys. */
  std::vector<Customer> customers;
  CallerLimits limits;
  /** Entries that were read with an assumption, for the log. */
  std::vector<std::string> remarks;
};

/** One validated version of the routes. Immutable. */
class RouteTable : public RefCounted<RouteTable> {
 public:
  /** Validates a document as a whole.
      @param source  origin of the document for error messages
      @returns the table, or ErrorCode::kInvalid with the field and the reason
   */
  static Result<RefPtr<const RouteTable>> Make(RouteDocument document,
                                               const std::string& source);

  std::uint64_t version() const { return document_.version; }
  const CallerLimits& limits() const { return document_.limits; }
  const std::vector<Route>& routes() const { return document_.routes; }
  const std::vector<ServiceId>& services() const { return document_.services; }
  const std::vector<std::string>& remarks() const { return document_.remarks; }
  const std::vector<Customer>& customers() const { return document_.customers; }

  /** @returns the customer that holds the key, or null */
  const Customer* FindCustomer(const KeyDigest& key) const;

  /** @returns the customer of that name, or null */
  const Customer* FindCustomer(const CustomerId& name) const;

  /** Finds the route of the host with the longest prefix of the path.
      @param host  without a port, in lower case
      @returns the route, or null */
  const Route* Find(const std::string& host, const std::string& path) const;

  /** Selects one of the route's services at random according to their weights.
      @param unit  random number, uniformly distributed in [0, 1) */
  static const ServiceId& DrawService(const Route& route, double unit);

 private:
  explicit RouteTable(RouteDocument document);

  RouteDocument document_;
  /** Indices of routes by host, sorted by descending prefix length. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host_;
  /** Indices of customers by the digits of their keys' digests. */
  std::unordered_map<std::string, std::uint32_t> by_key_;
};

}  // namespace cumin
