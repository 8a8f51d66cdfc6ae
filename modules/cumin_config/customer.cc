#include "cumin_config/customer.h"

#include <algorithm>
#include <cctype>
#include <set>

#include "cumin_core/digest.h"

namespace cumin {

namespace {

/** @returns the invalid field and the reason, or two empty strings */
std::pair<std::string, std::string> FindInvalidField(const Customer& customer) {
  const std::string& name = customer.name.str();
  // Targets get the name in a header field.
  const bool is_printable =
      std::all_of(name.begin(), name.end(),
                  [](unsigned char c) { return std::isgraph(c) != 0; });
  if (name.empty() || !is_printable) {
    return {"name", "must be printable and not empty"};
  }
  if (customer.priority < 0) {
    return {"priority", "must not be negative"};
  }
  if (customer.rate_per_s < 0) {
    return {"rate", "must not be negative"};
  }
  if (customer.burst < 0) {
    return {"burst", "must not be negative"};
  }
  if (customer.burst > 0 && !customer.IsLimited()) {
    return {"burst", "needs a rate"};
  }
  return {};
}

}  // namespace

KeyDigest KeyDigest::Of(const std::string& key) {
  return KeyDigest(Sha256Hex(key).substr(0, kDigits));
}

Result<KeyDigest> KeyDigest::Parse(const std::string& digits) {
  const bool is_digest =
      digits.size() == kDigits &&
      std::all_of(digits.begin(), digits.end(),
                  [](unsigned char c) { return std::isxdigit(c) != 0; });
  if (!is_digest) {
    return Error{ErrorCode::kInvalid, "", 0, "", "is not the digest of a key"};
  }
  return KeyDigest(digits);
}

Result<void> CheckCustomers(const std::vector<Customer>& customers,
                            const std::string& source) {
  std::set<CustomerId> names;
  std::set<KeyDigest> keys;
  for (const Customer& it : customers) {
    const std::string where = "customer '" + it.name.str() + "': ";
    const auto [field, reason] = FindInvalidField(it);
    if (!field.empty()) {
      return Error{ErrorCode::kInvalid, source, 0, where + field, reason};
    }
    if (!names.insert(it.name).second) {
      return Error{ErrorCode::kInvalid, source, 0, where + "name",
                   "stands twice"};
    }
    for (const KeyDigest& key : it.keys) {
      if (!keys.insert(key).second) {
        return Error{ErrorCode::kInvalid, source, 0, where + "keys",
                     "another customer, or the same one, has this key"};
      }
    }
  }
  return Ok();
}

}  // namespace cumin
