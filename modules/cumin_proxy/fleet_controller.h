#pragma once

#include <string>

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/controller.h"
#include "cumin_store/store.h"

namespace cumin {

/** Keeps this daemon's entry in the store's directory under a lease and reads
    the other daemons' entries from it. */
class FleetController final : public Controller {
 public:
  /** All arguments outlive this object.
      @param endpoint  where this daemon is reached */
  FleetController(Blackboard& board, Store& store, const Endpoint& endpoint);
  ~FleetController() override;

  /** Ends the lease, which removes the entry. */
  void Leave();

 protected:
  Duration Step() override;

 private:
  Member Self() const;
  bool KeepLease(MonoTime now);
  void Publish();
  void ReadDirectory();

  Blackboard& board_;
  Store& store_;
  Endpoint endpoint_;
  std::string lease_;
  MonoTime renewed_;
  std::string published_;
};

}  // namespace cumin
