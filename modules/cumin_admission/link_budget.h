#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "cumin_core/time.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** The answer of a call that is sent over this VM's link, from admission until
    the last byte is sent. Unlinks itself from the budget on destruction. */
struct LinkTransfer
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  /** Answer sizes are estimated per operation. */
  std::string operation;
  /** Lower values are more urgent; 0 is the most urgent. */
  int priority = 0;
  /** The caller stops waiting for the answer at this time. */
  MonoTime deadline;
  /** Soft deadline: an answer after this is of less use to the caller. May
      already have passed. */
  MonoTime wanted_by;
  /** Bytes still to be sent; an estimate until the answer is known. */
  std::size_t bytes_left = 0;
  /** Admitted although expected to end after `wanted_by`; set by the budget. */
  bool is_late = false;
  /** Waits for its turn on the link; set by the budget. */
  bool is_waiting = false;
};

/** Schedules the outgoing link of this VM and limits admission by its
    bandwidth.

    Large answers are sent in turns, the most urgent first, at a rate below the
    link's, so that no queue builds up in front of the link and small messages
    pass without delay. A call is admitted only if its answer is expected to be
    sent in time; other calls are refused before they run, with the time after
    which the link has capacity. Answer sizes are estimated per operation from
    earlier answers.

    Without this, large answers that exceed the link's bandwidth would delay
    fleet messages, handshakes and connection shutdowns queued behind them.

    Not thread-safe; takes the current time as an argument.
*/
class LinkBudget {
 public:
  /** Answers up to this size neither wait for a turn nor count towards
      admission. */
  static constexpr std::size_t kLargeAnswerBytes = std::size_t{16} * 1024;

  /** @param megabits_per_s  bandwidth of the link; 0 if unknown, in which case
      nothing waits and nothing is refused */
  explicit LinkBudget(double megabits_per_s);
  LinkBudget(const LinkBudget&) = delete;
  LinkBudget& operator=(const LinkBudget&) = delete;

  /** @returns true if the link's bandwidth is known */
  bool is_limited() const { return bytes_per_us_ > 0; }

  /** Admits or refuses a call whose answer will be sent over the link.
      @param transfer       linked into the budget if admitted
      @param default_bytes  answer size of an operation without earlier answers
      @param ready_at       when the answer is expected to be ready
      @returns a refusal, always NotRun; empty if the call is admitted */
  std::optional<Refusal> Admit(LinkTransfer& transfer,
                               std::size_t default_bytes, MonoTime ready_at,
                               MonoTime now);

  /** Replaces the estimated size of a transfer by the actual one.
      @param n  size of the answer's body in bytes */
  void OnAnswer(LinkTransfer& transfer, std::size_t n);

  /** Marks the transfer as waiting for a turn. */
  void AwaitTurn(LinkTransfer& transfer);

  /** Grants the next turn if the link is free and a transfer waits.
      @param[out] n  bytes that may be sent now; 0 if the transfer can no longer
      complete by its deadline
      @returns the transfer whose turn it is, or null */
  LinkTransfer* TakeTurn(MonoTime now, std::size_t* n);

  /** @returns when the link is free for the next turn */
  MonoTime next_turn_at() const { return free_at_; }

  bool HasWaiting() const;

  /** Accounts for bytes sent without a turn. */
  void Charge(std::size_t n, MonoTime now);

  /** @returns the time needed to send all admitted answers */
  Duration Wait(MonoTime now) const;

 private:
  using Transfers =
      boost::intrusive::list<LinkTransfer,
                             boost::intrusive::constant_time_size<false>>;

  Duration SendTime(std::size_t n) const;
  /** @returns admitted bytes that precede a new transfer of this priority */
  std::size_t BytesBefore(int priority) const;
  bool HasLate() const;
  void AddSizeSample(const std::string& operation, std::size_t n);

  const double bytes_per_us_;
  const std::size_t turn_bytes_;
  Transfers transfers_;
  /** Moving average of the answer size in bytes, by operation. */
  std::map<std::string, double> sizes_;
  MonoTime free_at_;
};

}  // namespace cumin
