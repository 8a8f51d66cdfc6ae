#pragma once

#include <boost/intrusive/list.hpp>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
#include "cumin_core/time.h"

namespace cumin {

/** Life cycle of a call in an AdmissionQueue. */
enum class PendingState {
  kNew,
  kQueued,
  /** Holds a slot; has been or is being sent to the target. */
  kRunning,
  kDone,
};

/** A call that passes through an AdmissionQueue.

    The worker that processes the call owns this object and must not move it
    until the call is done; the queue links it intrusively without copying.
*/
class PendingCall : public boost::intrusive::list_base_hook<> {
 public:
  /** @param contract   the customer's limits; must outlive the call
      @param operation  the operation called; must outlive the call
      @param deadline   when the caller stops waiting */
  PendingCall(const Contract& contract, const Operation& operation,
              MonoTime deadline)
      : contract_(contract), operation_(operation), deadline_(deadline) {}

  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  const Contract& contract() const { return contract_; }
  const Operation& operation() const { return operation_; }
  MonoTime deadline() const { return deadline_; }
  PendingState state() const { return state_; }

  /** @returns when the call was given a slot; valid only from kRunning on */
  MonoTime started_at() const { return started_at_; }

 private:
  friend class AdmissionQueue;

  const Contract& contract_;
  const Operation& operation_;
  MonoTime deadline_;
  MonoTime started_at_;
  PendingState state_ = PendingState::kNew;
};

/** Calls in order of arrival. */
using PendingList = boost::intrusive::list<PendingCall>;

}  // namespace cumin
