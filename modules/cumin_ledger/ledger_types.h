#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "cumin_core/identifier.h"
#include "cumin_core/ref_counted.h"
#include "cumin_core/time.h"

namespace cumin {

/** Identifies one shard of a service's idempotency keys. */
struct ShardId {
  ServiceId service;
  /** In [0, shard count of the service). */
  int index = 0;

  friend bool operator==(const ShardId& a, const ShardId& b) {
    return a.index == b.index && a.service == b.service;
  }
  friend bool operator<(const ShardId& a, const ShardId& b) {
    return std::tie(a.service, a.index) < std::tie(b.service, b.index);
  }
};

/** Identifies one call of a customer across all its attempts. */
struct CallKey {
  CustomerId customer;
  IdempotencyKey key;

  friend bool operator==(const CallKey& a, const CallKey& b) {
    return a.customer == b.customer && a.key == b.key;
  }
};

/** Hash function for CallKey; not stable across processes. */
struct CallKeyHash {
  std::size_t operator()(const CallKey& key) const {
    constexpr std::size_t kMultiplier = 31;
    return std::hash<CustomerId>()(key.customer) * kMultiplier +
           std::hash<IdempotencyKey>()(key.key);
  }
};

/** One attempt of a non-idempotent call, as received from the caller. */
struct Attempt {
  CallKey key;
  /** Hash of the operation and the body; detects different requests that were
      sent with the same key by mistake. */
  std::uint64_t request_hash = 0;
  /** When the caller sent the first attempt of the call, by the caller's clock;
      unchanged on each resend. Absent when the caller did not send it. */
  std::optional<WallTime> first_sent;
};

/** A target's complete response, stored to be replayed to a resend. */
class StoredAnswer final : public RefCounted<StoredAnswer> {
 public:
  /** @param status        the HTTP status
      @param content_type  the Content-Type header; may be empty
      @param body          the whole body */
  StoredAnswer(int status, std::string content_type, std::string body)
      : status_(status),
        content_type_(std::move(content_type)),
        body_(std::move(body)) {}

  int status() const { return status_; }
  const std::string& content_type() const { return content_type_; }
  const std::string& body() const { return body_; }
  /** @returns the size of content type and body in bytes */
  std::size_t bytes() const { return content_type_.size() + body_.size(); }

 private:
  int status_;
  std::string content_type_;
  std::string body_;
};

/** A shared answer; null when none is stored. */
using StoredAnswerPtr = RefPtr<const StoredAnswer>;

/** Size limits and time-outs of the ledger; the same on every VM. */
struct LedgerOptions {
  /** How long a key is retained after its first attempt. */
  Duration key_window{std::chrono::minutes(10)};
  /** Maximum difference between any two wall clocks of VMs or callers. */
  Duration clock_margin{std::chrono::seconds(1)};
  /** Maximum number of keys per shard; further calls are refused. */
  std::size_t max_keys = 20000;
  /** Maximum total answer size per shard; the oldest answers are evicted. */
  std::size_t max_answer_bytes = 1U << 20U;
};

}  // namespace cumin
