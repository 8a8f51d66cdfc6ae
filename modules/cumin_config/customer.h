#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"

namespace cumin {

/** Digest of a customer's key: the first half of its SHA-256, in hexadecimal
    digits. The key itself is not kept. */
class KeyDigest {
 public:
  /** Number of hexadecimal digits. */
  static constexpr std::size_t kDigits = 32;

  KeyDigest() = default;

  /** @returns the digest of a key */
  static KeyDigest Of(const std::string& key);

  /** @param digits  as `digits()` returns them; kInvalid otherwise */
  static Result<KeyDigest> Parse(const std::string& digits);

  const std::string& digits() const { return digits_; }

  friend bool operator==(const KeyDigest& a, const KeyDigest& b) {
    return a.digits_ == b.digits_;
  }
  friend bool operator<(const KeyDigest& a, const KeyDigest& b) {
    return a.digits_ < b.digits_;
  }

 private:
  explicit KeyDigest(std::string digits) : digits_(std::move(digits)) {}

  std::string digits_;
};

/** A customer in the routes' configuration: whose requests its keys admit, and
    how many of them. */
struct Customer {
  CustomerId name;
  std::vector<KeyDigest> keys;
  /** Goes before the priority of the route; 0 is the most urgent. */
  int priority = 0;
  /** Requests per second over all daemons; 0 for no limit. */
  double rate_per_s = 0;
  /** Requests that may exceed the rate at once. */
  double burst = 0;

  /** @returns true when the customer has an allotment */
  bool IsLimited() const { return rate_per_s > 0; }

  friend bool operator==(const Customer& a, const Customer& b) {
    return a.name == b.name && a.keys == b.keys && a.priority == b.priority &&
           a.rate_per_s == b.rate_per_s && a.burst == b.burst;
  }
};

/** Checks the customers of one version.
    @returns success, or kInvalid with the customer's name and the field: a name
    or key that stands twice, a customer without a printable name, a negative
   priority, rate or burst, or a burst without a rate */
Result<void> CheckCustomers(const std::vector<Customer>& customers,
                            const std::string& source);

}  // namespace cumin
