#pragma once

#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Aborts an exchange when the caller for whom it is made leaves, so that the
    next hop hears of it. */
class AbortOnHangUp final : private CallerWatch::Listener {
 public:
  /** @param caller     outlives this
      @param may_abort  false to let the exchange end all the same */
  AbortOnHangUp(CallerWatch& caller, bool may_abort)
      : caller_(caller), may_abort_(may_abort) {
    caller_.SetListener(this);
  }
  ~AbortOnHangUp() override { caller_.SetListener(nullptr); }
  AbortOnHangUp(const AbortOnHangUp&) = delete;
  AbortOnHangUp& operator=(const AbortOnHangUp&) = delete;

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
