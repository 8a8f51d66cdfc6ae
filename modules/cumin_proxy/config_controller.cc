#include "cumin_proxy/config_controller.h"

#include <thread>

#include "cumin_config/config_keys.h"
#include "cumin_core/logging.h"

namespace cumin {

namespace {

constexpr Duration kWatchWait = std::chrono::seconds(5);
constexpr Duration kWatchMargin = std::chrono::seconds(1);
constexpr Duration kDutyCheck = std::chrono::milliseconds(200);
constexpr Duration kPeerPoll = std::chrono::milliseconds(20);
/** How long a fetcher waits for the one whose part it is to bring a change,
    and the jitter on top. */
constexpr Duration kPeerWait = std::chrono::milliseconds(300);
constexpr Duration kPeerJitter = std::chrono::milliseconds(400);

BackoffSettings StoreBackoff() {
  BackoffSettings settings;
  settings.longest = std::chrono::seconds(5);
  return settings;
}

}  // namespace

ConfigController::ConfigController(Blackboard& board, Store& store,
                                   ConfigHolder& config, FleetState& state,
                                   ConfigSpreader& spreader)
    : board_(board),
      config_(config),
      state_(state),
      spreader_(spreader),
      store_(store),
      reader_(store),
      rotation_(FetcherSettings{}, board.random),
      backoff_(StoreBackoff()) {}

ConfigController::~ConfigController() { Stop(); }

Duration ConfigController::Step() {
  if (!ShouldWatchStore()) {
    watch_index_ = 0;
    return kDutyCheck;
  }
  return WatchOnce();
}

bool ConfigController::ShouldWatchStore() {
  if (board_.settings.spread == SpreadMode::kWatchAll) {
    return true;
  }
  const auto plan = state_.Plan();
  const auto members =
      static_cast<int>(plan->FetcherRanking(board_.settings.region).size());
  return rotation_.ShouldWatchStore(plan->FetcherRank(board_.settings.vm),
                                    members, state_.StoreQuiet(),
                                    board_.clock.Now());
}

Duration ConfigController::WatchOnce() {
  const Result<StoreListing> listing =
      store_.Watch(kHeadKey, watch_index_, kWatchWait);
  if (!listing) {
    state_.NoteStoreFailed();
    return backoff_.Next(board_.random) + kDutyCheck;
  }
  backoff_.Reset();
  if (listing.value().entries.empty()) {
    state_.NoteStoreHeard(0, kWatchWait + kWatchMargin);
    watch_index_ = listing.value().index;
    return Duration(0);
  }
  const StoreEntry& entry = listing.value().entries.front();
  const Result<HeadRecord> head = ParseHeadRecord(entry.value, entry.key);
  if (!head) {
    CUMIN_LOG(error) << "configuration head: " << head.error();
    watch_index_ = listing.value().index;
    return kDutyCheck;
  }
  state_.NoteStoreHeard(head.value().change.version, kWatchWait + kWatchMargin);
  if (!Bring(head.value())) {
    return backoff_.Next(board_.random) + kDutyCheck;
  }
  watch_index_ = listing.value().index;
  return Duration(0);
}

bool ConfigController::Bring(const HeadRecord& head) {
  const std::uint64_t version = head.change.version;
  if (version <= config_.Stamp().version) {
    return true;
  }
  if (board_.settings.spread == SpreadMode::kWatchAll) {
    return ReadFromStore(head);
  }
  const auto plan = state_.Plan();
  const int rank = plan->FetcherRank(board_.settings.vm);
  const bool is_source =
      rank == 0 && plan->source_region() == board_.settings.region;
  if (!is_source && WaitForPeers(head, rank)) {
    return true;
  }
  const std::uint64_t before = config_.Stamp().version;
  if (!ReadFromStore(head)) {
    return false;
  }
  spreader_.SpreadFromHere(before);
  return true;
}

bool ConfigController::WaitForPeers(const HeadRecord& head, int rank) {
  const std::uint64_t version = head.change.version;
  // A later rank waits longer, so that one of them pulls across the link.
  const Duration wait = kPeerWait * (1 + rank) +
                        Duration(board_.random.Below(kPeerJitter.count()));
  const MonoTime end = board_.clock.Now() + wait;
  while (!stopping() && board_.clock.Now() < end) {
    if (config_.Stamp().version >= version) {
      return true;
    }
    std::this_thread::sleep_for(kPeerPoll);
  }
  const std::uint64_t before = config_.Stamp().version;
  for (const VmId& it : state_.Plan()->Sources()) {
    const std::optional<Member> source = state_.Find(it);
    if (source && it != board_.settings.vm) {
      (void)spreader_.PullFromPeer(*source);
    }
    if (config_.Stamp().version >= version) {
      spreader_.SpreadFromHere(before);
      return true;
    }
  }
  return false;
}

bool ConfigController::ReadFromStore(const HeadRecord& head) {
  const auto held = config_.Find(0);
  const Result<ConfigBundle> bundle = reader_.ReadBundle(head, held.get());
  if (!bundle) {
    CUMIN_LOG(warning) << "configuration: " << bundle.error();
    return false;
  }
  const Result<GateDecision> taken =
      config_.Take(bundle.value(), board_.clock.WallNow());
  if (!taken) {
    CUMIN_LOG(error) << "configuration refused: " << taken.error();
  }
  return true;
}

}  // namespace cumin
