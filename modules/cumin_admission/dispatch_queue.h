#pragma once

#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "cumin_admission/service_time.h"
#include "cumin_core/target_load.h"
#include "cumin_core/time.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** A call that needs a slot of the target. The caller must keep it alive while
    it is in the queue. */
struct DispatchCall
    : boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::safe_link>> {
  /** Service times are estimated per operation. */
  std::string operation;
  /** Lower values are more urgent; 0 is the most urgent. */
  int priority = 0;
  MonoTime deadline;
  /** Soft deadline: an answer after this is of less use to the caller. May
      already have passed. */
  MonoTime wanted_by;
  MonoTime queued_at;
  MonoTime started_at;
  /** Arrival order among calls of equal urgency, assigned by the queue; sorts
      last until then. */
  std::uint64_t sequence = std::numeric_limits<std::uint64_t>::max();
  /** The answer is expected after `wanted_by`; set by the queue. */
  bool is_late = false;

  friend bool operator<(const DispatchCall& a, const DispatchCall& b) {
    if (a.priority != b.priority) {
      return a.priority < b.priority;
    }
    return a.is_late != b.is_late ? b.is_late : a.sequence < b.sequence;
  }
};

/** Result of DispatchQueue::Offer. */
enum class DispatchDecision { kStarted, kQueued, kRefused };

/** The slots of the target beside this daemon and the calls that wait for one.

    The number of calls in flight never exceeds the target's slots, so the
    target's own queue stays empty. Calls start by priority; within a priority,
    calls that can still meet `wanted_by` precede late ones, and then the order
    of arrival decides. Late calls use spare capacity only, and few of them may
    wait, so that the others are refused promptly. A call that cannot complete
    by its deadline is refused at once, with the time after which the queue will
    be short enough.

    This keeps answers timely under sustained overload, where a FIFO queue would
    serve every call, each of them too late.

    Not thread-safe; takes the current time as an argument.
*/
class DispatchQueue {
 public:
  /** Receives the outcome of waiting calls; must not call back into the
      queue. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** The call holds a slot now. */
    virtual void OnStart(DispatchCall& call) = 0;
    /** The call was removed from the queue and holds no slot. */
    virtual void OnRefuse(DispatchCall& call, const Refusal& refusal) = 0;
  };

  /** @param listener  must outlive the queue */
  explicit DispatchQueue(Listener& listener) : listener_(listener) {}
  ~DispatchQueue() { waiting_.clear(); }
  DispatchQueue(const DispatchQueue&) = delete;
  DispatchQueue& operator=(const DispatchQueue&) = delete;

  /** @param slots  maximum number of calls in flight, at least 0 */
  void SetSlots(int slots, MonoTime now);

  /** Starts, queues or refuses a call.
      @param[out] refusal  set if the call is refused; always NotRun */
  DispatchDecision Offer(DispatchCall& call, MonoTime now, Refusal* refusal);

  /** Releases the slot of a call and starts waiting calls.
      @param was_answered  whether the elapsed time is a service time sample */
  void Finish(DispatchCall& call, MonoTime now, bool was_answered);

  /** Removes a waiting call.
      @returns false if it holds a slot or is not in the queue */
  bool Cancel(DispatchCall& call);

  /** Refuses the waiting calls that can no longer complete by their
      deadline. */
  void Expire(MonoTime now);

  /** Refuses every waiting call. */
  void RefuseAll(RefusalReason reason, const std::string& detail);

  /** @returns the current load; `leaving` is always false */
  TargetLoad Load(MonoTime now) const;

  /** @returns the estimated time that a call of the operation holds a slot */
  Duration ExpectedTime(const std::string& operation, MonoTime now) const;

  /** @param call  a waiting call, or one that has not been offered yet
      @returns the expected queuing delay behind the calls that precede it */
  Duration ExpectedWait(const DispatchCall& call, MonoTime now) const;

  int in_flight() const { return in_flight_; }
  int queued() const { return static_cast<int>(waiting_.size()); }

 private:
  DispatchDecision Refuse(const DispatchCall& call, RefusalReason reason,
                          MonoTime end, MonoTime now, Refusal* refusal) const;
  int WaitingLate() const;
  void Start(DispatchCall& call, MonoTime now);
  void StartWaiting(MonoTime now);
  Duration MeanTime(MonoTime now) const;

  Listener& listener_;
  boost::intrusive::set<DispatchCall> waiting_;
  std::map<std::string, ServiceTime> times_;
  ServiceTime mean_time_;
  std::uint64_t next_sequence_ = 0;
  int slots_ = 0;
  int in_flight_ = 0;
};

}  // namespace cumin
