#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cumin_fleet/cumin_fleet.h"

namespace cumin::test {

/** Faults to inject, each of which must make a property fail. */
struct FleetFaults {
  /** Older entries replace newer ones. */
  bool accept_older = false;
  /** Daemons do not refute false information about themselves. */
  bool never_refute = false;
  /** Daemons do not pull newer versions from peers. */
  bool no_anti_entropy = false;
  /** Daemons apply every version received, including outdated ones. */
  bool apply_older = false;
  /** Probes of dead daemons are acknowledged. */
  bool ack_for_dead = false;
  /** All members are announced as belonging to one region. */
  bool ignore_regions = false;
};

/** Unreliability of the simulated network between the nodes. */
struct FleetNetwork {
  int drop_percent = 0;
  int repeat_percent = 0;
  /** Messages are delayed by 1 to this many ticks, so they can be reordered. */
  int max_delay_ticks = 1;
};

/** The objects under test of one daemon. */
class FleetNode {
 public:
  FleetNode(const Member& self, const FleetFaults& faults);

  std::unique_ptr<MemberTable> table;
  GossipQueue queue{GossipSettings{}};
  std::unique_ptr<GossipExchange> exchange;
  std::unique_ptr<FailureDetector> detector;
  std::unique_ptr<AntiEntropy> anti_entropy;
  VersionStamp in_force;
  /** True once a version was replaced by a lower one. */
  bool has_regressed = false;
  int pauses = 0;
  bool dead = false;
  bool frozen = false;

  /** Applies a version. Lower versions are ignored unless the fault is set. */
  void Apply(const VersionStamp& stamp, const FleetFaults& faults);
};

/** Simulates the message exchange of several nodes in one process in ticks of
    100 ms, with message loss, duplication and reordering derived from a seed.
 */
class FleetDriver {
 public:
  /** Creates nodes "vm-0"... distributed round-robin over the regions and two
      failure domains in each. All nodes know each other. */
  FleetDriver(int nodes, int regions, std::uint64_t seed,
              const FleetFaults& faults = FleetFaults{});

  /** Advances the simulated time. */
  void Run(int seconds);

  /** Replaces a node by one without state that knows only one peer. */
  void Replace(int i, const Member& self);

  FleetNode& node(int i) { return *nodes_[i]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  const Member& self(int i) const { return nodes_[i]->table->self(); }
  MonoTime now() const { return now_; }

  /** Starts or ends a network partition between the first region and the
      others. */
  void SetPartitioned(bool is_partitioned) { is_partitioned_ = is_partitioned; }

  /** @returns true when all running nodes consider each other alive */
  bool AllAgree() const;

  /** @returns true when no running node considers the node live */
  bool AllConsiderDead(int i) const;

  FleetNetwork network;

 private:
  struct Envelope {
    MonoTime due;
    std::function<void()> deliver;
  };

  void Tick();
  void Post(int from, int to, const std::function<void()>& deliver);
  void Ping(int from, int to, ProbeId probe);
  void PingIndirect(int from, int via, int to, ProbeId probe);
  void Pull(int from, int peer);
  void Receive(int at, const GossipMessage& message);
  GossipMessage ComposeMessage(int from, const VmId& to);
  bool CanCommunicate(int a, int b) const;
  int IndexOf(const VmId& vm) const;

  FleetFaults faults_;
  SeededRandom random_;
  MonoTime now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  std::vector<Envelope> envelopes_;
  std::vector<int> actual_region_;
  bool is_partitioned_ = false;
};

}  // namespace cumin::test
