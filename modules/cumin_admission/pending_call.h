#pragma once

#include <boost/intrusive/list.hpp>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
#include "cumin_core/time.h"

namespace cumin {

/** Where a call stands at the daemon beside the target. */
enum class PendingState {
  kNew,
  kQueued,
  /** Holds a slot; it has been or is being handed to the target. */
  kRunning,
  kDone,
};

/** One call on its way through an AdmissionQueue.

    The worker that carries the call owns this object and keeps it at one
    address until the call is done; the queue links it without copying.
*/
class PendingCall : public boost::intrusive::list_base_hook<> {
 public:
  /** @param contract   the customer's limits; must outlive the call
      @param operation  what is called; must outlive the call
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

  /** @returns when the call got its slot; meaningless before that */
  MonoTime started_at() const { return started_at_; }

 private:
  friend class AdmissionQueue;

  const Contract& contract_;
  const Operation& operation_;
  MonoTime deadline_;
  MonoTime started_at_;
  PendingState state_ = PendingState::kNew;
};

/** Calls in the order of their arrival. */
using PendingList = boost::intrusive::list<PendingCall>;

}  // namespace cumin
