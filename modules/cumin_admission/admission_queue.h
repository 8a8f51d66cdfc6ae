#pragma once

#include <optional>
#include <unordered_map>

#include "cumin_admission/customer_queue.h"
#include "cumin_admission/pending_call.h"
#include "cumin_admission/service_time.h"
#include "cumin_core/target_load.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** What AdmissionQueue::Admit did with a call. */
enum class Admission {
  /** The call holds a slot; the caller hands it to the target. */
  kStarted,
  /** The call waits; the Listener hears of its start or refusal. */
  kQueued,
  kRefused,
};

/** How a call that held a slot ended. */
enum class RunOutcome {
  /** The target answered; the time it took is a sample. */
  kAnswered,
  /** The deadline came first; the time it took is a lower bound. */
  kTimedOut,
  /** The connection or the target failed; its time says nothing. */
  kFailed,
};

/** The slots and the queue of the one target beside this daemon.

    Every call for the target passes through here, so the number in flight is
    exact, and a refusal from here is NotRun: a call is handed to the target
    only after it got a slot.

    Waiting calls start in the order of their work class and, among customers,
    by start-time fair queuing weighted with the contract's share. A customer
    that was passed over for too long comes next whatever its class, so one
    customer's surge delays only its own work. Bulk calls leave some slots
    free for calls that others wait on.
*/
class AdmissionQueue {
 public:
  /** Hears what becomes of waiting calls. Called synchronously; it must not
      call back into the queue. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** The call now holds a slot and has to be handed to the target. */
    virtual void OnStart(PendingCall& call) = 0;

    /** The call was taken out of the queue and was never started. */
    virtual void OnRefuse(PendingCall& call, const Refusal& refusal) = 0;
  };

  /** @param listener  must outlive the queue */
  explicit AdmissionQueue(Listener& listener) : listener_(listener) {}

  /** Changes how many calls may run; more slots start waiting calls.
      @param usable_slots  at least 0; calls in flight above it are left alone
   */
  void SetUsableSlots(int usable_slots, MonoTime now);

  /** Takes in one call. Allocates nothing when a slot is free and the
      customer and operation have been seen before.
      @param call          a new call
      @param now           the time
      @param[out] refusal  set when the call is refused; always NotRun */
  Admission Admit(PendingCall& call, MonoTime now, Refusal* refusal);

  /** Releases the slot of a running call and starts waiting ones. */
  void Finish(PendingCall& call, MonoTime now, RunOutcome outcome);

  /** Takes a waiting call out because its caller has gone.
      @returns true when the call was waiting, and so has not run; false when
      it holds a slot or is done */
  bool Cancel(PendingCall& call);

  /** Refuses the waiting calls that can no longer end before their deadline.
   */
  void Expire(MonoTime now);

  /** Refuses every waiting call. */
  void RefuseWaiting(RefusalReason reason, const std::string& detail);

  int in_flight() const { return in_flight_; }
  int queued() const { return queued_; }
  int usable_slots() const { return usable_slots_; }

  /** @returns the load, with `leaving` false */
  TargetLoad Load() const;

  /** @returns how long one call of the operation is expected to hold a slot;
      zero when unknown */
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
