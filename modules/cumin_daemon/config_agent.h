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
#include "cumin_store/async_store.h"

namespace cumin {

/** Where the operators' configuration stands in the store and how it reads. */
class RouteSource {
 public:
  virtual ~RouteSource() = default;

  /** @returns the key of the configuration */
  virtual const std::string& key() const = 0;

  /** Reads the key's value as a whole.
      @returns the routes, or kInvalid with the field and the reason */
  virtual Result<RefPtr<const RouteTable>> Parse(
      const std::string& text) const = 0;
};

/** Brings each version of the routes into force here, forward only.

    A few daemons of each region watch the store; the others get changes through
    the region's tree, and by pulls from a peer that is ahead. The root of a
    region's tree also tells the watchers of the other regions which version
    there is; when they do not get it from the store, they pull it.
*/
class ConfigAgent final : public FleetAgent::Listener {
 public:
  /** All arguments outlive this. */
  ConfigAgent(DaemonContext& board, PeerClient& peers, AsyncStore& store,
              const RouteSource& source);

  /** Starts to watch and repair.
      @param fleet  outlives this */
  void Start(FleetAgent& fleet);

  /** Reads the store's version once.
      @returns whether the store answered */
  Task<bool> Fetch(ReadFreshness freshness);

  /** Takes a change that a peer passed on.
      @param from  the peer
      @param root  where the change entered the region
      @param body  a compressed RouteDelta */
  Task<bool> OnPush(VmId from, VmId root, std::string body);

  /** @param have  the version that the asker has
      @returns a compressed RouteDelta from there, or empty when nothing is
      newer */
  std::string OnPull(std::uint64_t have);

  /** A daemon of another region has this version. */
  void OnTold(const VmId& from, std::uint64_t version);

  /** A daemon of this region that watches the store has lost it. */
  void OnAskedToWatch(const VmId& from);

  /** @returns the version in force, 0 for none */
  std::uint64_t InForce() const;

  /** @returns how long the version in force has been so here */
  Duration Age() const { return board_.clock.Now() - in_force_since_; }

  /** @returns since when nobody of this region has heard the store */
  Duration StoreQuiet() const;

  /** Called after each change of the version in force. */
  void SetOnChange(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

 private:
  void OnCompose(GossipMessage& message) override;
  void OnMessage(const GossipMessage& message) override;
  Task<void> WatchForever();
  Task<bool> WatchOnce();
  Task<void> RepairForever();
  Task<bool> PullFrom(Endpoint peer);
  bool IsOnDuty();
  VersionStamp Ours() const;
  /** Reads the source's text and takes it.
      @returns whether it was newer than what was in force */
  bool TakeFromStore(const std::string& text, const char* source);
  bool Take(const RefPtr<const RouteTable>& table, const char* source);
  Result<bool> TakeDelta(const std::string& body, const char* source);
  void SpreadFromHere();
  /** Spreads the version in force as the root of this region's tree. */
  void SpreadAsRoot();
  Task<Result<HttpResponse>> SendTo(VmId vm, const char* path,
                                    std::string query, std::string body);
  Task<void> Tell(VmId peer);
  Task<void> AskSuccessorToWatch();
  void PassOn(const VmId& root, const VmId& node);
  Task<void> HandToFirstFetcher(VmId first);
  Task<void> PushTo(VmId child, VmId root);
  Task<bool> Push(VmId child, VmId root);
  void CheckReady();
  /** @param version  from which the change starts, if it is a recent one
      @returns the change to the version in force, compressed; the whole table
      when the version is not recent */
  const std::string& DeltaFrom(std::uint64_t version);
  /** Somebody has this version, or had it. */
  void HearOf(std::uint64_t version);

  DaemonContext& board_;
  PeerClient& peers_;
  AsyncStore& store_;
  const RouteSource& source_;
  FleetAgent* fleet_ = nullptr;
  FetcherRotation rotation_;
  AntiEntropy anti_entropy_;
  ReadinessRule readiness_;
  RetryBackoff backoff_;
  /** Earlier versions, to make deltas from; the newest last. */
  std::deque<RefPtr<const RouteTable>> recent_;
  /** Compressed changes to the version in force, by where they start; the same
      one goes to several peers. */
  std::map<std::uint64_t, std::string> deltas_;
  MonoTime in_force_since_;
  std::uint64_t watched_revision_ = 0;
  std::function<void()> on_change_;
};

/** Paths of the requests that carry versions between daemons. */
constexpr char kPushPath[] = "/-/config/push";
constexpr char kPullPath[] = "/-/config/pull";
/** Path of the request that tells of a version; the query names the sender and
    the version. */
constexpr char kTellPath[] = "/-/config/tell";
/** Path of the request to watch the store; the query names the sender. */
constexpr char kWatchPath[] = "/-/config/watch";

}  // namespace cumin
