#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cumin {

/** An immutable name of one kind of thing; names of different kinds do not
    compare or convert.

    @tparam Tag  the kind
*/
template <typename Tag>
class Identifier {
 public:
  /** An empty name, which names nothing. */
  Identifier() = default;

  /** @param text  the name as written by an operator or announced by a VM */
  explicit Identifier(std::string text) : text_(std::move(text)) {}

  /** @returns the name's text */
  const std::string& str() const { return text_; }

  /** @returns true when this names nothing */
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

/** Names one VM, and so the one daemon that runs on it. */
using VmId = Identifier<struct VmIdTag>;
/** Names one customer of a mesh; each has one contract. */
using CustomerId = Identifier<struct CustomerIdTag>;
/** Names one service, which targets on many VMs carry. */
using ServiceId = Identifier<struct ServiceIdTag>;
/** Names one operation of a service. */
using OperationId = Identifier<struct OperationIdTag>;
/** Names one region. */
using RegionId = Identifier<struct RegionIdTag>;
/** Names one failure domain inside a region. */
using FailureDomainId = Identifier<struct FailureDomainIdTag>;
/** The caller's key of one non-idempotent call, repeated on each resend. */
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
