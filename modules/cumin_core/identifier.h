#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cumin {

/** An immutable, strongly typed string identifier; identifiers with different
    tags neither compare nor convert.

    @tparam Tag  the kind of object that is identified
*/
template <typename Tag>
class Identifier {
 public:
  /** Makes an empty identifier, which identifies nothing. */
  Identifier() = default;

  /** @param text  as written by an operator or announced by a VM */
  explicit Identifier(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }

  /** @returns true when this identifies nothing */
  bool empty() const { return text_.empty(); }

  friend bool operator==(const Identifier& a, const Identifier& b) {
    return a.text_ == b.text_;
  }
  friend bool operator!=(const Identifier& a, const Identifier& b) {
    return a.text_ != b.text_;
  }
  friend bool operator<(const Identifier& a, const Identifier& b) {
    return a.text_ < b.text_;
  }
  friend std::ostream& operator<<(std::ostream& out, const Identifier& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

/** Identifies a VM, and so the one daemon that runs on it. */
using VmId = Identifier<struct VmIdTag>;
/** Identifies a customer of a mesh; each has one contract. */
using CustomerId = Identifier<struct CustomerIdTag>;
/** Identifies a service, which targets on several VMs provide. */
using ServiceId = Identifier<struct ServiceIdTag>;
/** Identifies an operation of a service. */
using OperationId = Identifier<struct OperationIdTag>;
using RegionId = Identifier<struct RegionIdTag>;
/** Identifies a failure domain inside a region. */
using FailureDomainId = Identifier<struct FailureDomainIdTag>;
/** The caller's key of one non-idempotent call; retries carry the same key. */
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;

}  // namespace cumin

namespace std {

template <typename Tag>
struct hash<cumin::Identifier<Tag>> {
  size_t operator()(const cumin::Identifier<Tag>& id) const {
    return hash<string>()(id.str());
  }
};

}  // namespace std
