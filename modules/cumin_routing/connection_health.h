#pragma once

#include "cumin_config/mesh.h"
#include "cumin_core/time.h"

namespace cumin {

/** When a pooled connection was opened and when it last completed an exchange.
 */
struct ConnectionTimes {
  MonoTime opened_at;
  MonoTime used_at;

  friend bool operator==(const ConnectionTimes& a, const ConnectionTimes& b) {
    return a.opened_at == b.opened_at && a.used_at == b.used_at;
  }
};

/** What to do with a pooled connection before a call is sent on it. */
enum class ConnectionDecision {
  kUse,
  /** Send a small probe first and use the connection if it is answered. */
  kProbe,
  /** Close it and open a new one. */
  kReplace,
};

/** Decides which pooled connections to one peer are still usable.

    A middlebox can drop the state of an open connection, which then stays
    silent forever while new connections work. Idle connections are therefore
    probed before they carry a call that must not run twice. When a call times
    out, connections opened no later than its own are assumed to be affected
    as well and are replaced, and those that have not been used since the call
    was sent are probed.
*/
class ConnectionHealth {
 public:
  /** Decides how a connection may be used for the next call.
      @param repeatability  of the call to be sent on it */
  ConnectionDecision Decide(const ConnectionTimes& connection,
                            Repeatability repeatability, MonoTime now) const;

  /** Records that a call on the connection timed out.
      @param sent_at  when the call was sent */
  void OnTimeout(const ConnectionTimes& connection, MonoTime sent_at);

  /** @returns how long to wait for the response to a probe */
  static Duration ProbeTimeout();

 private:
  /** Connections opened before this time are replaced. */
  MonoTime replace_opened_before_;
  /** Connections last used before this time are probed first. */
  MonoTime probe_used_before_;
};

}  // namespace cumin
