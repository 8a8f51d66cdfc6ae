#pragma once

#include <optional>
#include <unordered_map>

#include "cumin_admission/customer_queue.h"
#include "cumin_admission/pending_call.h"
#include "cumin_admission/service_time.h"
#include "cumin_core/target_load.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** Result of AdmissionQueue::Admit. */
enum class Admission {
  /** The call holds a slot; the caller must send it to the target. */
  kStarted,
  /** The call waits; the Listener is notified when it starts or is refused. */
  kQueued,
  kRefused,
};

/** How a call that held a slot ended. */
enum class RunOutcome {
  /** The target answered; the elapsed time is a service time sample. */
  kAnswered,
  /** The deadline passed first; the elapsed time is a lower bound of the
      service time and is used as a sample. */
  kTimedOut,
  /** The connection or the target failed; the elapsed time is no sample. */
  kFailed,
};

/** The slots and the queue of the target beside this daemon.

    Every call to the target passes through this queue, so the number of calls
    in flight is exact. Every refusal is NotRun, because a call is sent to the
    target only after it has been given a slot.

    Waiting calls are started by work class and, within a class, by start-time
    fair queuing over customers, weighted by the contract's share. A customer
    that has been passed over too often is served next regardless of class, so
    that a surge of one customer delays only that customer's calls. Some slots
    are reserved for non-bulk calls, because other calls wait for their results.
*/
class AdmissionQueue {
 public:
  /** Receives the outcome of waiting calls. Called synchronously; must not call
      back into the queue. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** The call now holds a slot and must be sent to the target. */
    virtual void OnStart(PendingCall& call) = 0;

    /** The call was removed from the queue without being started. */
    virtual void OnRefuse(PendingCall& call, const Refusal& refusal) = 0;
  };

  /** @param listener  must outlive the queue */
  explicit AdmissionQueue(Listener& listener) : listener_(listener) {}

  /** Sets the number of calls that may run and starts waiting calls if slots
      were added.
      @param usable_slots  at least 0; calls in flight above it keep running */
  void SetUsableSlots(int usable_slots, MonoTime now);

  /** Starts, queues or refuses a call. Does not allocate if a slot is free and
      the customer and operation are already known.
      @param call          a call in state kNew
      @param[out] refusal  set if the call is refused; always NotRun */
  Admission Admit(PendingCall& call, MonoTime now, Refusal* refusal);

  /** Releases the slot of a running call and starts waiting calls. */
  void Finish(PendingCall& call, MonoTime now, RunOutcome outcome);

  /** Removes a waiting call whose caller has disconnected.
      @returns true if the call was waiting and therefore has not run; false if
      it holds a slot or is done */
  bool Cancel(PendingCall& call);

  /** Refuses the waiting calls that can no longer complete before their
      deadline. */
  void Expire(MonoTime now);

  /** Refuses every waiting call. */
  void RefuseWaiting(RefusalReason reason, const std::string& detail);

  int in_flight() const { return in_flight_; }
  int queued() const { return queued_; }
  int usable_slots() const { return usable_slots_; }

  /** @returns the current load; `leaving` is always false */
  TargetLoad Load() const;

  /** @returns the estimated time that a call of the operation holds a slot;
      zero if unknown */
  Duration ExpectedServiceTime(const OperationId& operation,
                               MonoTime now) const;

 private:
  CustomerQueue& CustomerOf(const PendingCall& call);
  bool CanStart(const CustomerQueue& customer, WorkClass work_class) const;
  std::optional<Refusal> CheckDeadline(const CustomerQueue& customer,
                                       const PendingCall& call,
                                       MonoTime now) const;
  bool MakeRoom(CustomerQueue& customer, const PendingCall& call,
                Refusal* refusal);
  bool MakeRoomForCustomer(CustomerQueue& customer, const PendingCall& call);
  bool MakeRoomForTarget(CustomerQueue& customer, const PendingCall& call);
  double ShareSum(const CustomerQueue& joining) const;
  double FairSlots(const CustomerQueue& customer) const;
  int QueueLimit() const;
  int BulkSlots() const;
  void Enqueue(CustomerQueue& customer, PendingCall& call);
  void Unlink(CustomerQueue& customer, PendingCall& call);
  void Refuse(CustomerQueue& customer, PendingCall& call,
              const Refusal& refusal);
  void Start(CustomerQueue& customer, PendingCall& call, MonoTime now);
  void StartWaiting(MonoTime now);
  PendingCall* NextCall(MonoTime now);
  CustomerQueue* FairestCustomer(WorkClass* work_class);
  double Cost(const CustomerQueue& customer, const PendingCall& call,
              MonoTime now) const;

  Listener& listener_;
  std::unordered_map<CustomerId, CustomerQueue> customers_;
  CustomerList waiting_customers_;
  std::unordered_map<OperationId, ServiceTime> service_times_;
  ServiceTime mean_service_time_;
  double virtual_time_ = 0;
  int usable_slots_ = 0;
  int in_flight_ = 0;
  int bulk_in_flight_ = 0;
  int queued_ = 0;
};

}  // namespace cumin
