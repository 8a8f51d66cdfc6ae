#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "cumin_config/readiness_rule.h"
#include "cumin_config/route_delta.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_fleet/anti_entropy.h"
#include "cumin_fleet/fetcher_rotation.h"
#include "cumin_routing/rollout.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Locates the operators' configuration document in the store and parses it. */
class RouteSource {
 public:
  virtual ~RouteSource() = default;

  /** @returns the store key of the configuration document */
  virtual const std::string& key() const = 0;

  /** Parses the complete document.
      @returns the routes, or kInvalid with the field and the reason */
  virtual Result<RefPtr<const RouteTable>> Parse(
      const std::string& text) const = 0;

  /** @returns the prefix of the store keys of the document and of the orders to
      roll out versions */
  virtual const std::string& watch_prefix() const = 0;

  /** @returns the prefix of the store keys of the orders */
  virtual const std::string& rollout_prefix() const = 0;

  /** Parses an order.
      @returns the order without era and revision, or kInvalid with the field */
  virtual Result<RolloutOrder> ParseRollout(const std::string& text) const = 0;

  /** @returns the store key of the state of a roll-out */
  virtual std::string RolloutStateKey(const ServiceId& service) const = 0;

  /** @returns the value of that key */
  virtual std::string EncodeRolloutState(const Rollout& rollout) const = 0;

  /** Parses a value that EncodeRolloutState made.
      @returns version and state, or kInvalid with the field */
  virtual Result<Rollout> ParseRolloutState(const std::string& text) const = 0;
};

/** Applies each new version of the routes on this daemon; the active version
    never decreases.

    A few daemons of each region watch the store. The others receive changes
    through the region's distribution tree, and by anti-entropy pulls from a
    peer with a newer version. The root of a region's tree also notifies the
    watchers of the other regions of the version; if they do not receive it from
    the store, they pull it.
*/
class ConfigAgent final : public FleetAgent::Listener {
 public:
  /** All arguments outlive this. */
  ConfigAgent(DaemonContext& context, PeerClient& peers, AsyncStore& store,
              const RouteSource& source);

  /** Starts the store watch and anti-entropy.
      @param fleet  outlives this */
  void Start(FleetAgent& fleet);

  /** Reads the configuration from the store once and applies it.
      @returns whether the store answered */
  Task<bool> Fetch(ReadFreshness freshness);

  /** Asks the store whether the configuration in force is the newest one, to
      date it. */
  Task<void> DateConfiguration();

  /** Receives the orders that this daemon reads in the store. */
  class OrderListener {
   public:
    virtual ~OrderListener() = default;
    virtual void OnOrder(const RolloutOrder& order) = 0;
  };

  /** @param listener  outlives this */
  void SetOrderListener(OrderListener& listener) {
    order_listener_ = &listener;
  }

  /** @returns whether this daemon watches the store */
  bool is_watching() const { return is_watching_; }

  /** @returns whether requests with keys have to be dated here */
  bool DatesKeys() const;

  /** Handles a change pushed by a peer, and forwards it down the tree.
      @param from  the peer
      @param root  root of the distribution tree: the daemon where the change
                   entered the region
      @param body  a compressed RouteDelta
      @returns whether the change could be processed */
  Task<bool> OnPush(VmId from, VmId root, std::string body);

  /** @param base_version  the requester's version
      @returns a compressed RouteDelta from that version, or empty when there is
      no newer one */
  std::string OnPull(std::uint64_t base_version);

  /** Handles a notice that a daemon of another region has this version. */
  void OnVersionNotice(const VmId& from, std::uint64_t version);

  /** Handles a request to take over the store watch, sent by a daemon of this
      region whose own watch failed. */
  void OnWatchRequest(const VmId& from);

  /** @returns the active version, 0 for none */
  std::uint64_t ActiveVersion() const;

  /** @returns how long the current version has been active on this daemon */
  Duration Age() const { return context_.clock.Now() - active_since_; }

  /** @returns the time since any daemon of this region last had contact with
      the store */
  Duration TimeSinceStoreContact() const;

  /** @param on_change  called after each change of the active version */
  void SetOnChange(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

 private:
  void OnCompose(GossipMessage& message) override;
  void OnMessage(const GossipMessage& message) override;
  Task<void> RunWatchLoop();
  /** @param wait  as in AsyncStore::Watch */
  Task<bool> WatchOnce(Duration wait);
  Task<void> RunAntiEntropy();
  Task<bool> PullFromPeer(Endpoint peer);
  bool ShouldWatchStore();
  Task<void> FetchOrders();
  void OnOrderItem(const StoreItem& item);
  /** Starts over after the store has come back from a copy. */
  void CheckEra();
  /** Dates what the store told.
      @param as_of  a time at which the store had sent nothing newer */
  void DateStoreVersion(MonoTime as_of);
  Duration WatchWait() const;
  VersionStamp ActiveStamp() const;
  /** Parses a document from the store and applies it.
      @returns whether it was newer than the active version */
  bool ApplyFromStore(const std::string& text, const char* source);
  bool Apply(const RefPtr<const RouteTable>& table, const char* source);
  Result<bool> ApplyDelta(const std::string& body, const char* source);
  void StartDistribution();
  /** Distributes the active version as the root of this region's tree, and
      notifies the other regions. */
  void DistributeAsRoot();
  Task<Result<HttpResponse>> SendTo(VmId vm, const char* path,
                                    std::string query, std::string body);
  Task<void> SendVersionNotice(VmId peer);
  Task<void> RequestWatchFromSuccessor();
  void PushToChildren(const VmId& root, const VmId& node);
  Task<void> HandOffToFirstFetcher(VmId first);
  Task<void> PushTo(VmId child, VmId root);
  Task<bool> Push(VmId child, VmId root);
  void UpdateReadiness();
  /** @param version  base of the delta
      @returns the compressed delta from there to the active version; the whole
      table when the base is no longer kept */
  const std::string& DeltaFrom(std::uint64_t version);
  /** Records that some peer, or the store, has had this version. */
  void NoteKnownVersion(std::uint64_t version);

  DaemonContext& context_;
  PeerClient& peers_;
  AsyncStore& store_;
  const RouteSource& source_;
  FleetAgent* fleet_ = nullptr;
  FetcherRotation rotation_;
  AntiEntropy anti_entropy_;
  ReadinessRule readiness_;
  RetryBackoff backoff_;
  /** Recent versions, the newest last; bases for deltas. */
  std::deque<RefPtr<const RouteTable>> recent_versions_;
  /** Compressed deltas to the active version, by base version. Cached because
      the same delta goes to several peers. */
  std::map<std::uint64_t, std::string> delta_cache_;
  MonoTime active_since_;
  std::uint64_t watched_revision_ = 0;
  /** Version of the document at watched_revision_; 0 when unknown. */
  std::uint64_t store_version_ = 0;
  std::uint64_t era_ = 0;
  bool is_watching_ = false;
  bool has_orders_ = false;
  OrderListener* order_listener_ = nullptr;
  std::function<void()> on_change_;
};

/** Paths of the requests that transfer versions between daemons. */
constexpr char kPushPath[] = "/-/config/push";
constexpr char kPullPath[] = "/-/config/pull";
/** Path of the notice that a version exists; the query names the sender and the
    version. */
constexpr char kVersionNoticePath[] = "/-/config/tell";
/** Path of the request to take over the store watch; the query names the
    sender. */
constexpr char kWatchRequestPath[] = "/-/config/watch";

}  // namespace cumin
