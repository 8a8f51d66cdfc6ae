#pragma once

#include "cumin_config/mesh.h"
#include "cumin_core/time.h"

namespace cumin {

/** When a kept connection was opened and last carried a whole exchange. */
struct ConnectionTimes {
  MonoTime opened_at;
  MonoTime used_at;

  friend bool operator==(const ConnectionTimes& a, const ConnectionTimes& b) {
    return a.opened_at == b.opened_at && a.used_at == b.used_at;
  }
};

/** What to do with a kept connection before a call goes over it. */
enum class ConnectionDecision {
  kUse,
  /** Exchange something small first, and use the connection when it works. */
  kProbe,
  /** Close it and open a fresh one. */
  kReplace,
};

/** Decides which connections to one peer can be trusted.

    Something between the two ends can lose track of an open connection, which
    then stays silent for good while new ones work. Connections idle for a
    while are probed before they carry work that must not run twice. When one
    times out, its older siblings went the same way and are replaced, and those
    that have carried nothing since are probed.
*/
class ConnectionHealth {
 public:
  /** Decides about one connection.
      @param connection     its times
      @param repeatability  of the call that would go over it
      @param now            the time */
  ConnectionDecision Decide(const ConnectionTimes& connection,
                            Repeatability repeatability, MonoTime now) const;

  /** No answer came over a connection in time.
      @param connection  its times
      @param sent_at     when the call was sent over it */
  void OnTimeout(const ConnectionTimes& connection, MonoTime sent_at);

  /** @returns how long to wait for the answer of a probe */
  static Duration ProbeTimeout();

 private:
  /** Connections opened before this are not used any more. */
  MonoTime distrust_opened_before_;
  /** Connections that carried nothing since this are probed first. */
  MonoTime probe_used_before_;
};

}  // namespace cumin
