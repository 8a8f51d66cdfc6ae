#include "cumin_daemon/peer_discovery.h"

#include <algorithm>
#include <vector>

#include "cumin_fleet/retry_backoff.h"

namespace cumin {

namespace {

constexpr char kPrefix[] = "cumin/contacts/";
/** Outlives short outages of the store, and is short against the replacement of
    a VM. */
constexpr Duration kLeaseLength = std::chrono::seconds(30);
constexpr Duration kRenewInterval = std::chrono::seconds(8);
/** While renewals fail, so that a lapsed entry is back within two seconds of
    the store's return. */
constexpr Duration kRenewRetry = std::chrono::milliseconds(1200);
constexpr BackoffSettings kBackoff{std::chrono::milliseconds(150),
                                   std::chrono::milliseconds(1500)};
constexpr Duration kLookAround = std::chrono::seconds(1);
/** Contacts that a joining daemon asks at once. */
constexpr std::size_t kContacts = 3;

}  // namespace

PeerDiscovery::PeerDiscovery(DaemonContext& board, AsyncStore& store,
                             FleetAgent& fleet)
    : board_(board), store_(store), fleet_(fleet) {}

void PeerDiscovery::Start() {
  asio::co_spawn(board_.executor, KeepForever(), asio::detached);
  asio::co_spawn(board_.executor, JoinForever(), asio::detached);
}

Task<void> PeerDiscovery::Withdraw() {
  if (lease_ != kNoLease) {
    const LeaseId lease = std::exchange(lease_, kNoLease);
    (void)co_await store_.EndLease(lease);
  }
}

std::string PeerDiscovery::Key() const {
  return kPrefix + board_.settings.vm.str();
}

Task<void> PeerDiscovery::KeepForever() {
  RetryBackoff backoff(kBackoff);
  while (!board_.ends_soon) {
    if (lease_ == kNoLease) {
      const bool written = co_await WriteEntry();
      const Duration pause =
          written ? kRenewInterval : backoff.Next(board_.random);
      co_await SleepFor(pause);
      continue;
    }
    const Result<void> renewed = co_await store_.RenewLease(lease_);
    if (renewed) {
      backoff.Reset();
      co_await SleepFor(kRenewInterval);
      continue;
    }
    board_.log.Write(EventLine("lease-not-renewed")
                         .With("error", Describe(renewed.error())));
    if (renewed.error().code == ErrorCode::kNotFound) {
      lease_ = kNoLease;
    } else {
      co_await SleepFor(kRenewRetry);
    }
  }
}

Task<bool> PeerDiscovery::WriteEntry() {
  const Result<LeaseId> lease = co_await store_.GrantLease(kLeaseLength);
  if (!lease) {
    board_.log.Write(
        EventLine("lease-not-granted").With("error", Describe(lease.error())));
    co_return false;
  }
  const Result<std::uint64_t> written = co_await store_.Put(
      Key(), ToString(board_.settings.peers), lease.value());
  if (!written) {
    board_.log.Write(EventLine("contact-not-written")
                         .With("error", Describe(written.error())));
    co_return false;
  }
  lease_ = lease.value();
  board_.log.Write(EventLine("contact-written"));
  co_return true;
}

Task<void> PeerDiscovery::JoinForever() {
  RetryBackoff backoff(kBackoff);
  while (!board_.ends_soon) {
    // Of two daemons that start at once, the one that writes its entry later
    // finds the other. Hearing of one peer is not enough: the others would come
    // by gossip, one after another, while callers are already here.
    const bool is_alone = fleet_.live_count() < 2;
    if (is_alone || !has_joined_) {
      const bool joined = co_await JoinOnce();
      has_joined_ = has_joined_ || joined;
    }
    const bool is_settled = has_joined_ && !is_alone;
    const Duration pause =
        is_settled ? kLookAround : backoff.Next(board_.random);
    co_await SleepFor(pause);
  }
}

Task<bool> PeerDiscovery::JoinOnce() {
  const Result<StoreItems> listed =
      co_await store_.List(kPrefix, ReadFreshness::kCurrent);
  if (!listed) {
    board_.log.Write(
        EventLine("contacts-not-read").With("error", Describe(listed.error())));
    co_return false;
  }
  std::vector<Endpoint> contacts;
  for (const StoreItem& it : listed.value().items) {
    const Result<Endpoint> endpoint = ParseEndpoint(it.value);
    if (endpoint && endpoint.value() != board_.settings.peers) {
      contacts.push_back(endpoint.value());
    }
  }
  std::size_t joined = 0;
  while (!contacts.empty() && joined < kContacts) {
    const std::size_t chosen = board_.random.Below(contacts.size());
    const bool answered = co_await fleet_.JoinThrough(contacts[chosen]);
    joined += answered ? 1 : 0;
    contacts.erase(contacts.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  co_return joined > 0;
}

}  // namespace cumin
