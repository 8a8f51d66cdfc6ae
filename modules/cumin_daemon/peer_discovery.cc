#include "cumin_daemon/peer_discovery.h"

#include <algorithm>
#include <vector>

#include "cumin_fleet/contact_list.h"
#include "cumin_fleet/retry_backoff.h"

namespace cumin {

namespace {

/** Prefix of all keys that the daemons write. */
constexpr char kFleetPrefix[] = "cumin/";
constexpr char kContactPrefix[] = "cumin/contacts/";
/** Longer than short outages of the store, and short compared with the time to
    replace a VM. */
constexpr Duration kLeaseLength = std::chrono::seconds(30);
constexpr Duration kRenewInterval = std::chrono::seconds(8);
/** Interval between renewals while they fail. An expired entry is back within
    two seconds of the store's recovery. */
constexpr Duration kRenewRetry = std::chrono::milliseconds(1200);
/** An entry that the store lost is back within two seconds. */
constexpr Duration kEraCheckInterval = std::chrono::milliseconds(500);
constexpr BackoffSettings kStoreRetryBackoff{std::chrono::milliseconds(150),
                                             std::chrono::milliseconds(1500)};
/** How long listed contacts are tried before they are listed again. */
constexpr Duration kContactsLifetime = std::chrono::seconds(3);
/** In which all daemons of a mesh that starts for the first time have written
    their entries. */
constexpr Duration kFirstStartDelay = std::chrono::milliseconds(700);
constexpr Duration kSettledCheckInterval = std::chrono::seconds(1);

}  // namespace

PeerDiscovery::PeerDiscovery(DaemonContext& context, AsyncStore& store,
                             FleetAgent& fleet, SuspectAgent& suspects)
    : context_(context), store_(store), fleet_(fleet), suspects_(suspects) {}

void PeerDiscovery::Start() {
  asio::co_spawn(context_.executor, MaintainLease(), asio::detached);
  asio::co_spawn(context_.executor, RunJoinLoop(), asio::detached);
}

Task<void> PeerDiscovery::Unregister() {
  if (lease_ != kNoLease) {
    const LeaseId lease = std::exchange(lease_, kNoLease);
    (void)co_await store_.EndLease(lease);
  }
}

std::string PeerDiscovery::Key() const {
  return kContactPrefix + context_.settings.vm.str();
}

Task<void> PeerDiscovery::MaintainLease() {
  RetryBackoff backoff(kStoreRetryBackoff);
  while (!context_.is_shutting_down) {
    if (era_ != store_.era()) {
      // Leases of an earlier era are gone, or belong to somebody else.
      era_ = store_.era();
      lease_ = kNoLease;
    }
    if (lease_ == kNoLease) {
      const bool written = co_await RegisterContact();
      const Duration pause =
          written ? kRenewInterval : backoff.Next(context_.random);
      era_ = store_.era();
      co_await SleepWhileEraLasts(pause);
      continue;
    }
    const Result<void> renewed = co_await store_.RenewLease(lease_);
    if (renewed) {
      backoff.Reset();
      co_await SleepWhileEraLasts(kRenewInterval);
      continue;
    }
    context_.log.Write(EventLine("lease-not-renewed")
                           .With("error", Describe(renewed.error())));
    if (renewed.error().code == ErrorCode::kNotFound) {
      lease_ = kNoLease;
    } else {
      co_await SleepFor(kRenewRetry);
    }
  }
}

Task<void> PeerDiscovery::SleepWhileEraLasts(Duration length) {
  const MonoTime until = context_.clock.Now() + length;
  while (context_.clock.Now() < until && era_ == store_.era()) {
    co_await SleepFor(kEraCheckInterval);
  }
}

Task<bool> PeerDiscovery::RegisterContact() {
  const Result<LeaseId> lease = co_await store_.GrantLease(kLeaseLength);
  if (!lease) {
    context_.log.Write(
        EventLine("lease-not-granted").With("error", Describe(lease.error())));
    co_return false;
  }
  const Contact self{context_.settings.peers, context_.settings.region};
  const std::string value = ToString(self);
  const Result<std::uint64_t> written =
      co_await store_.Put(Key(), value, lease.value());
  if (!written) {
    context_.log.Write(EventLine("contact-not-written")
                           .With("error", Describe(written.error())));
    co_return false;
  }
  lease_ = lease.value();
  context_.log.Write(EventLine("contact-written"));
  co_return true;
}

Task<void> PeerDiscovery::RunJoinLoop() {
  RetryBackoff backoff(kStoreRetryBackoff);
  if (context_.settings.is_first_start) {
    // Otherwise each daemon would list the contacts several times until the
    // last one has written its entry.
    co_await SleepFor(kFirstStartDelay);
  }
  while (!context_.is_shutting_down) {
    // Of two daemons that start at once, the one that writes its entry later
    // finds the other. Knowing one peer is not enough: the others would become
    // known one by one through gossip while callers already send requests.
    const bool is_isolated = fleet_.live_count() < 2;
    if (is_isolated || !has_joined_) {
      const bool joined = co_await TryJoin();
      has_joined_ = has_joined_ || joined;
    }
    const bool is_settled = has_joined_ && !is_isolated;
    const Duration pause =
        is_settled ? kSettledCheckInterval : backoff.Next(context_.random);
    co_await SleepFor(pause);
  }
}

Task<bool> PeerDiscovery::ListContacts() {
  const Result<StoreItems> listed =
      co_await store_.List(kFleetPrefix, ReadFreshness::kCurrent);
  if (!listed) {
    context_.log.Write(
        EventLine("contacts-not-read").With("error", Describe(listed.error())));
    co_return false;
  }
  std::vector<Contact> contacts;
  for (const Error& it : listed.value().skipped) {
    context_.log.Write(
        EventLine("contact-skipped").With("error", Describe(it)));
  }
  for (const StoreItem& it : listed.value().items) {
    if (it.key.rfind(kQuarantineKeyPrefix, 0) == 0) {
      suspects_.OnKept(it.value);
    }
    if (it.key.rfind(kContactPrefix, 0) != 0) {
      continue;
    }
    Result<Contact> contact = ParseContact(it.value);
    if (!contact) {
      // The value may be long or unprintable.
      context_.log.Write(
          EventLine("contact-skipped")
              .With("key", it.key)
              .With("bytes", static_cast<std::int64_t>(it.value.size())));
    } else if (contact.value().endpoint != context_.settings.peers) {
      contacts.push_back(std::move(contact.value()));
    }
  }
  contacts_ = std::move(contacts);
  listed_at_ = context_.clock.Now();
  co_return true;
}

Task<bool> PeerDiscovery::TryJoin() {
  // When all daemons restart at once, the contacts do not change; they only
  // answer later.
  const bool is_recent = !contacts_.empty() &&
                         context_.clock.Now() - listed_at_ < kContactsLifetime;
  if (!is_recent) {
    const bool has_listed = co_await ListContacts();
    if (!has_listed) {
      co_return false;
    }
  }
  if (contacts_.empty()) {
    fleet_.OnHistoryKnown();
  }
  ContactList list(contacts_, context_.settings.region);
  bool has_joined = false;
  std::optional<Endpoint> next = list.Next(fleet_.Regions(), context_.random);
  while (next) {
    const Endpoint contact = *next;
    const bool joined = co_await fleet_.JoinThrough(contact);
    if (joined) {
      list.OnJoined();
      has_joined = true;
    }
    next = list.Next(fleet_.Regions(), context_.random);
  }
  co_return has_joined;
}

}  // namespace cumin
