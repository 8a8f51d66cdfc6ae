#pragma once

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/controller.h"
#include "cumin_store/store.h"

namespace cumin {

/** Keeps the configuration in force current by watching the store's head. */
class ConfigController final : public Controller {
 public:
  /** Both arguments outlive this object. */
  ConfigController(Blackboard& board, Store& store);
  ~ConfigController() override;

 protected:
  Duration Step() override;

 private:
  bool ReadOnce();

  Blackboard& board_;
  Store& store_;
  ConfigStoreReader reader_;
  ConfigBundle held_;
  std::uint64_t watch_index_ = 0;
};

}  // namespace cumin
