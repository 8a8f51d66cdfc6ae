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

/** Names one shard of a service's idempotency keys. */
struct ShardId {
  ServiceId service;
  /** From 0 to the service's shard count, exclusive. */
  int index = 0;

  friend bool operator==(const ShardId& a, const ShardId& b) {
    return a.index == b.index && a.service == b.service;
  }
  friend bool operator<(const ShardId& a, const ShardId& b) {
    return std::tie(a.service, a.index) < std::tie(b.service, b.index);
  }
};

/** Names one call of a customer over all its attempts. */
struct CallKey {
  CustomerId customer;
  IdempotencyKey key;

  friend bool operator==(const CallKey& a, const CallKey& b) {
    return a.customer == b.customer && a.key == b.key;
  }
};

/** Hash of a CallKey for tables in memory. */
struct CallKeyHash {
  std::size_t operator()(const CallKey& key) const {
    constexpr std::size_t kMultiplier = 31;
    return std::hash<CustomerId>()(key.customer) * kMultiplier +
           std::hash<IdempotencyKey>()(key.key);
  }
};

/** One attempt of a non-idempotent call as its caller sent it. */
struct Attempt {
  CallKey key;
  /** Hash of the operation and the body, to tell calls apart that use the same
      key by mistake. */
  std::uint64_t request_hash = 0;
  /** When the caller sent the call's first attempt, by the caller's clock; the
      same on each resend. Absent when the caller didn't say. */
  std::optional<WallTime> first_sent;
};

/** A target's whole answer, kept to be given again to a resend. */
class StoredAnswer final : public RefCounted<StoredAnswer> {
 public:
  /** @param status        the HTTP status
      @param content_type  the Content-Type header; may be empty
      @param body          the whole body */
  StoredAnswer(int status, std::string content_type, std::string body)
      : status_(status),
        content_type_(std::move(content_type)),
        body_(std::move(body)) {}

  /** @returns the HTTP status */
  int status() const { return status_; }
  /** @returns the Content-Type header */
  const std::string& content_type() const { return content_type_; }
  /** @returns the body */
  const std::string& body() const { return body_; }
  /** @returns the memory that the texts take, in bytes */
  std::size_t bytes() const { return content_type_.size() + body_.size(); }

 private:
  int status_;
  std::string content_type_;
  std::string body_;
};

/** A shared answer; null when none is kept. */
using StoredAnswerPtr = RefPtr<const StoredAnswer>;

/** Limits and times of the ledger. */
struct LedgerOptions {
  /** How long a key is remembered after its first attempt. */
  Duration key_window{std::chrono::minutes(10)};
  /** The most by which two wall clocks, of VMs or callers, may differ. */
  Duration clock_margin{std::chrono::seconds(1)};
  /** Keys remembered in one shard; beyond it new calls are refused. */
  std::size_t max_keys = 20000;
  /** Bytes of answers kept in one shard; beyond it the oldest are dropped. */
  std::size_t max_answer_bytes = 1U << 20U;
};

}  // namespace cumin
