#pragma once

#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Aborts an outgoing exchange when the caller of the incoming request
    disconnects, so that the disconnect propagates to the next hop. */
class AbortOnDisconnect final : private CallerWatch::Listener {
 public:
  /** @param caller     outlives this
      @param may_abort  false to let the exchange complete regardless */
  AbortOnDisconnect(CallerWatch& caller, bool may_abort)
      : caller_(caller), may_abort_(may_abort) {
    caller_.SetListener(this);
  }
  ~AbortOnDisconnect() override { caller_.SetListener(nullptr); }
  AbortOnDisconnect(const AbortOnDisconnect&) = delete;
  AbortOnDisconnect& operator=(const AbortOnDisconnect&) = delete;

  /** @returns the handle to pass to the exchange */
  ExchangeAbort& abort() { return abort_; }

 private:
  void OnCallerGone() override {
    if (may_abort_) {
      abort_.Abort();
    }
  }

  CallerWatch& caller_;
  const bool may_abort_;
  ExchangeAbort abort_;
};

}  // namespace cumin
