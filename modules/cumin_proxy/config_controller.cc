#include "cumin_proxy/config_controller.h"

#include "cumin_config/config_keys.h"
#include "cumin_core/logging.h"

namespace cumin {

namespace {

constexpr Duration kWatchWait = std::chrono::seconds(5);
constexpr Duration kRetryPause = std::chrono::milliseconds(500);

}  // namespace

ConfigController::ConfigController(Blackboard& board, Store& store)
    : board_(board), store_(store), reader_(store) {}

ConfigController::~ConfigController() { Stop(); }

Duration ConfigController::Step() {
  const Result<StoreListing> listing =
      store_.Watch(kHeadKey, watch_index_, kWatchWait);
  if (!listing) {
    return kRetryPause;
  }
  watch_index_ = listing.value().index;
  return ReadOnce() ? Duration(0) : kRetryPause;
}

bool ConfigController::ReadOnce() {
  const auto head = reader_.ReadHead();
  if (!head) {
    CUMIN_LOG(warning) << "configuration head: " << head.error();
    return false;
  }
  if (!head.value() ||
      head.value()->change.version <= board_.config.Version()) {
    return true;
  }
  const Result<ConfigBundle> bundle = reader_.ReadBundle(*head.value(), &held_);
  if (!bundle) {
    CUMIN_LOG(warning) << "configuration: " << bundle.error();
    return false;
  }
  const auto snapshot = MakeSnapshot(bundle.value());
  if (!snapshot) {
    CUMIN_LOG(error) << "configuration refused: " << snapshot.error();
    return true;
  }
  held_ = bundle.value();
  if (board_.config.Offer(snapshot.value()) == GateDecision::kTaken) {
    board_.ready = true;
    CUMIN_LOG(info) << "configuration version " << snapshot.value()->version()
                    << " in force";
  }
  return true;
}

}  // namespace cumin
