#pragma once

#include "cumin_config/config_store_reader.h"
#include "cumin_fleet/fetcher_rotation.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_holder.h"
#include "cumin_proxy/config_spreader.h"
#include "cumin_proxy/controller.h"
#include "cumin_proxy/fleet_state.h"
#include "cumin_store/store.h"

namespace cumin {

/** Keeps the configuration in force current: watches the store's head while
    this daemon is a fetcher, and brings what it finds on its way. */
class ConfigController final : public Controller {
 public:
  /** All arguments outlive this object. */
  ConfigController(Blackboard& board, Store& store, ConfigHolder& config,
                   FleetState& state, ConfigSpreader& spreader);
  ~ConfigController() override;

 protected:
  Duration Step() override;

 private:
  bool ShouldWatchStore();
  Duration WatchOnce();
  bool Bring(const HeadRecord& head);
  bool WaitForPeers(const HeadRecord& head, int rank);
  bool ReadFromStore(const HeadRecord& head);

  Blackboard& board_;
  ConfigHolder& config_;
  FleetState& state_;
  ConfigSpreader& spreader_;
  Store& store_;
  ConfigStoreReader reader_;
  FetcherRotation rotation_;
  RetryBackoff backoff_;
  std::uint64_t watch_index_ = 0;
};

}  // namespace cumin
