#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cumin_fleet/cumin_fleet.h"

namespace cumin::test {

/** Deliberate faults that a property must detect. */
struct FleetFaults {
  /** An older entry replaces a newer one. */
  bool accept_older = false;
  /** A daemon leaves false claims about itself standing. */
  bool never_refute = false;
  /** Nobody pulls a version that it hears of. */
  bool no_anti_entropy = false;
  /** A daemon puts in force whatever arrives, late answers included. */
  bool apply_older = false;
  /** Probes of dead daemons are acknowledged all the same. */
  bool answer_for_dead = false;
  /** Every daemon believes that all stand in one region. */
  bool ignore_regions = false;
};

/** How unreliable the network between the nodes is. */
struct FleetNetwork {
  int drop_percent = 0;
  int repeat_percent = 0;
  /** Messages wait from one tick up to this many, so they cross. */
  int max_delay_ticks = 1;
};

/** The decision objects of one daemon. */
class FleetNode {
 public:
  FleetNode(const Member& self, const FleetFaults& faults);

  std::unique_ptr<MemberTable> table;
  GossipQueue queue{GossipSettings{}};
  std::unique_ptr<GossipExchange> exchange;
  std::unique_ptr<FailureDetector> detector;
  std::unique_ptr<AntiEntropy> anti_entropy;
  VersionStamp in_force;
  /** A version was replaced by a lower one. */
  bool went_back = false;
  int pauses = 0;
  bool dead = false;
  bool frozen = false;

  /** Puts a version in force; forward only but for the fault. */
  void Apply(const VersionStamp& stamp, const FleetFaults& faults);
};

/** Delivers the messages of a handful of nodes in one process, in ticks of
    100 ms, with loss, repeats and crossing drawn from a seed. */
class FleetDriver {
 public:
  /** Makes nodes "vm-0"... in turn over the regions and two failure domains
      of each, all knowing one another. */
  FleetDriver(int nodes, int regions, std::uint64_t seed,
              const FleetFaults& faults = FleetFaults{});

  /** Lets the given number of seconds pass. */
  void Run(int seconds);

  /** Restarts a node that remembers nothing and knows one peer. */
  void Replace(int i, const Member& self);

  FleetNode& node(int i) { return *nodes_[i]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  const Member& self(int i) const { return nodes_[i]->table->self(); }
  MonoTime now() const { return now_; }

  /** Cuts or joins the nodes that stand in the first region from the rest. */
  void SetCut(bool cut) { cut_ = cut; }

  /** @returns true when every running node holds every running node alive */
  bool AllAgree() const;

  /** @returns true when the node's entry is tombstone in all running nodes */
  bool AllHoldDead(int i) const;

  FleetNetwork network;

 private:
  struct Envelope {
    MonoTime due;
    std::function<void()> deliver;
  };

  void Tick();
  void Post(int from, int to, const std::function<void()>& deliver);
  void Ping(int from, int to, ProbeId probe);
  void PingThrough(int from, int via, int to, ProbeId probe);
  void Pull(int from, int peer);
  void Hear(int at, const GossipMessage& message);
  GossipMessage Write(int from, const VmId& to);
  bool Joined(int a, int b) const;
  int IndexOf(const VmId& vm) const;

  FleetFaults faults_;
  SeededRandom random_;
  MonoTime now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  std::vector<Envelope> envelopes_;
  std::vector<int> real_region_;
  bool cut_ = false;
};

}  // namespace cumin::test
