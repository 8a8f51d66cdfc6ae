#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/ref_counted.h"
#include "cumin_core/time.h"

namespace cumin {

/** What may be repeated of a route's calls. */
enum class RouteKind {
  kIdempotent,
  /** Runs at most once for each attempt of the caller. */
  kAtMostOnce,
  /** Idempotent with large answers. */
  kDownload,
};

/** @returns "idempotent", "at-most-once" or "download" */
const char* ToString(RouteKind kind);

std::ostream& operator<<(std::ostream& out, RouteKind kind);

/** One part of a route's traffic. */
struct WeightedService {
  ServiceId service;
  /** Its part in proportion to the other weights of the route. */
  int weight = 1;

  friend bool operator==(const WeightedService& a, const WeightedService& b) {
    return a.service == b.service && a.weight == b.weight;
  }
};

/** Where calls to one host and path prefix go, and under which limits. */
struct Route {
  std::string name;
  std::string host;
  /** Begins and ends with '/'. */
  std::string prefix;
  RouteKind kind = RouteKind::kIdempotent;
  /** Targets that one attempt of the caller may be sent to, at least 1. */
  int attempts = 1;
  /** The longest time a caller is kept waiting. */
  Duration timeout{0};
  /** An answer within this time is worth most to the caller. */
  Duration target_latency{0};
  /** 0 is the most urgent. */
  int priority = 0;
  /** At least one, with a positive sum of weights. */
  std::vector<WeightedService> services;

  /** @returns true when a call may run on a second target after its first may
      have run */
  bool IsRepeatable() const { return kind != RouteKind::kAtMostOnce; }

  friend bool operator==(const Route& a, const Route& b) {
    return a.name == b.name && a.host == b.host && a.prefix == b.prefix &&
           a.kind == b.kind && a.attempts == b.attempts &&
           a.timeout == b.timeout && a.target_latency == b.target_latency &&
           a.priority == b.priority && a.services == b.services;
  }
};

/** What callers may send. */
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

/** The contents of one version of the routes. */
struct RouteDocument {
  /** Grows with each version, not always by one. */
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceId> services;
  CallerLimits limits;
};

/** One version of the routes, valid as a whole. Immutable. */
class RouteTable : public RefCounted<RouteTable> {
 public:
  /** Checks a document as a whole.
      @param document  the contents
      @param source    what to name in errors
      @returns the table, or kInvalid with the field and the reason */
  static Result<RefPtr<const RouteTable>> Make(RouteDocument document,
                                               const std::string& source);

  std::uint64_t version() const { return document_.version; }
  const CallerLimits& limits() const { return document_.limits; }
  const std::vector<Route>& routes() const { return document_.routes; }
  const std::vector<ServiceId>& services() const { return document_.services; }

  /** Finds the route of the host with the longest prefix that begins the path.
      @param host  without a port, in lower case
      @returns the route, or null */
  const Route* Find(const std::string& host, const std::string& path) const;

  /** Draws one of the route's services by their weights.
      @param unit  uniformly distributed in [0, 1) */
  static const ServiceId& DrawService(const Route& route, double unit);

 private:
  explicit RouteTable(RouteDocument document);

  RouteDocument document_;
  /** Indices of routes by host, the longest prefix first. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host_;
};

}  // namespace cumin
