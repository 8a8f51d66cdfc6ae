#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/parent_from_member.hpp>
#include <condition_variable>
#include <cstdint>
#include <optional>
#include <string>

#include "cumin_admission/pending_call.h"
#include "cumin_admission/suspect_table.h"
#include "cumin_proxy/call.h"

namespace cumin {

/** One call at the TargetGate; its worker owns it on the stack. */
class GateCall : public boost::intrusive::list_base_hook<> {
 public:
  /** @param call       outlives this object
      @param contract   the customer's limits; outlives this object
      @param operation  outlives this object */
  GateCall(const Call& call, const Contract& contract,
           const Operation& operation)
      : call_(call), pending_(contract, operation, call.deadline) {}

  const Call& call() const { return call_; }

 private:
  friend class TargetGate;

  /** @returns the call's fingerprint, computed at the first use */
  const RequestFingerprint& Fingerprint() {
    if (!fingerprint_) {
      fingerprint_ = MakeFingerprint(call_.service, call_.customer,
                                     call_.operation, call_.key, Content());
    }
    return *fingerprint_;
  }

  std::string Content() const {
    return call_.request.path + '?' + call_.request.query + '\n' +
           call_.request.body;
  }

  const Call& call_;
  PendingCall pending_;
  std::condition_variable decided_;
  std::optional<Refusal> refusal_;
  std::optional<RequestFingerprint> fingerprint_;
  bool is_suspect_ = false;
  /** Which process of the target it was handed to. */
  std::uint64_t target_process_ = 0;
};

}  // namespace cumin
