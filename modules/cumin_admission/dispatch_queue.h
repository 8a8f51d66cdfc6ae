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

/** One call that wants a slot of the target. Lives as long as the queue knows
    it. */
struct DispatchCall
    : boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::safe_link>> {
  /** Calls of one operation take alike long. */
  std::string operation;
  /** 0 is the most urgent. */
  int priority = 0;
  MonoTime deadline;
  /** An answer after this is worth less; may have passed already. */
  MonoTime wanted_by;
  MonoTime queued_at;
  MonoTime started_at;
  /** Place among its equals, set by the queue; behind all of them until then.
   */
  std::uint64_t sequence = std::numeric_limits<std::uint64_t>::max();
  /** Its answer will come too late for its full worth; set by the queue. */
  bool is_late = false;

  friend bool operator<(const DispatchCall& a, const DispatchCall& b) {
    if (a.priority != b.priority) {
      return a.priority < b.priority;
    }
    return a.is_late != b.is_late ? b.is_late : a.sequence < b.sequence;
  }
};

/** What DispatchQueue::Offer did with a call. */
enum class DispatchDecision { kStarted, kQueued, kRefused };

/** The slots of the target beside this daemon and the calls that wait for one.

    At most as many calls as the target has slots are in flight, so its own
    queue stays empty. The most urgent call starts first; among equals those
   that can still be answered in time go before those that cannot, and then the
   one that waits longest. Late calls get what capacity is left, and few of them
    wait, so that each soon knows. A call that cannot end by its deadline is
    refused at once with the time after which the queue will have drained far
    enough.

    Pattern answered: sustained load above the target's capacity, where a queue
    in order of arrival would answer every call, and each one too late.

    Not thread-safe; takes the time as an argument.
*/
class DispatchQueue {
 public:
  /** Hears what becomes of waiting calls; must not call back. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** The call holds a slot now. */
    virtual void OnStart(DispatchCall& call) = 0;
    /** The call was taken out and holds no slot. */
    virtual void OnRefuse(DispatchCall& call, const Refusal& refusal) = 0;
  };

  /** @param listener  outlives the queue */
  explicit DispatchQueue(Listener& listener) : listener_(listener) {}
  ~DispatchQueue() { waiting_.clear(); }
  DispatchQueue(const DispatchQueue&) = delete;
  DispatchQueue& operator=(const DispatchQueue&) = delete;

  /** @param slots  calls in flight at most, at least 0 */
  void SetSlots(int slots, MonoTime now);

  /** Takes in a call.
      @param[out] refusal  set when refused; always NotRun */
  DispatchDecision Offer(DispatchCall& call, MonoTime now, Refusal* refusal);

  /** A call that held a slot has ended.
      @param was_answered  whether the time it took is a sample */
  void Finish(DispatchCall& call, MonoTime now, bool was_answered);

  /** Takes a waiting call out.
      @returns false when it holds a slot or is not here */
  bool Cancel(DispatchCall& call);

  /** Refuses waiting calls that cannot end by their deadline any more. */
  void Expire(MonoTime now);

  /** Refuses every waiting call. */
  void RefuseAll(RefusalReason reason, const std::string& detail);

  /** @returns the load, with `leaving` false */
  TargetLoad Load(MonoTime now) const;

  /** @returns how long a call of the operation is expected to hold a slot */
  Duration ExpectedTime(const std::string& operation, MonoTime now) const;

  /** @param call  one that waits, or one that could be offered now
      @returns how long it is expected to wait behind those that go before it */
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
