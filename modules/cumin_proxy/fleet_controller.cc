#include "cumin_proxy/fleet_controller.h"

#include <utility>
#include <vector>

#include "cumin_core/logging.h"
#include "cumin_proxy/directory_entry.h"

namespace cumin {

namespace {

constexpr Duration kStepPause = std::chrono::milliseconds(200);
constexpr int kRenewalsPerLease = 3;

}  // namespace

FleetController::FleetController(Blackboard& board, Store& store,
                                 const Endpoint& endpoint)
    : board_(board), store_(store), endpoint_(endpoint) {}

FleetController::~FleetController() { Stop(); }

void FleetController::Leave() {
  if (!lease_.empty()) {
    const Result<void> revoked = store_.RevokeLease(lease_);
    if (!revoked) {
      CUMIN_LOG(warning) << "directory entry not removed: " << revoked.error();
    }
  }
}

Duration FleetController::Step() {
  board_.target.Expire(board_.clock.Now(), board_.settings.announce_timeout);
  if (KeepLease(board_.clock.Now())) {
    Publish();
  }
  ReadDirectory();
  return kStepPause;
}

Member FleetController::Self() const {
  Member self;
  self.vm = board_.settings.vm;
  self.endpoint = endpoint_;
  self.region = board_.settings.region;
  self.failure_domain = board_.settings.failure_domain;
  self.target = board_.target.Current();
  if (self.target && board_.leaving) {
    self.target->state = TargetState::kLeaving;
  }
  return self;
}

bool FleetController::KeepLease(MonoTime now) {
  const Duration length = board_.settings.directory_lease;
  if (!lease_.empty() && now - renewed_ < length / kRenewalsPerLease) {
    return true;
  }
  if (!lease_.empty() && store_.RenewLease(lease_)) {
    renewed_ = now;
    return true;
  }
  const Result<std::string> granted = store_.GrantLease(length);
  if (!granted) {
    return false;
  }
  lease_ = granted.value();
  renewed_ = now;
  published_.clear();
  return true;
}

void FleetController::Publish() {
  const std::string entry = EncodeDirectoryEntry(Self());
  if (entry == published_) {
    return;
  }
  const std::string key = kDirectoryPrefix + board_.settings.vm.str();
  const Result<StoreEntry> existing = store_.Get(key);
  const std::uint64_t index =
      existing ? existing.value().modify_index : kAbsentIndex;
  if (store_.CompareAndSwap(key, entry, index, lease_)) {
    published_ = entry;
  }
}

void FleetController::ReadDirectory() {
  const Result<StoreListing> listing = store_.List(kDirectoryPrefix);
  if (!listing) {
    return;
  }
  std::vector<Member> members;
  for (const StoreEntry& it : listing.value().entries) {
    Result<Member> member = DecodeDirectoryEntry(it.value, it.key);
    if (!member) {
      CUMIN_LOG(warning) << member.error();
      continue;
    }
    members.push_back(std::move(member.value()));
  }
  board_.fleet.Replace(std::move(members));
}

}  // namespace cumin
