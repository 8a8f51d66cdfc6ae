#include "fleet/fleet_driver.h"

namespace cumin::test {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kTicksPerSecond = 10;

class FaultyTable final : public MemberTable {
 public:
  FaultyTable(const Member& self, const FleetFaults& faults)
      : MemberTable(self, MemberTableSettings{}), faults_(faults) {}

 protected:
  bool IsNewer(const Member& received, const Member& stored) const override {
    return faults_.accept_older ? received != stored
                                : MemberTable::IsNewer(received, stored);
  }
  bool MustRefute(const Member& received) const override {
    return !faults_.never_refute && MemberTable::MustRefute(received);
  }

 private:
  const FleetFaults faults_;
};

class FaultyAntiEntropy final : public AntiEntropy {
 public:
  explicit FaultyAntiEntropy(const FleetFaults& faults)
      : AntiEntropy(AntiEntropySettings{}), faults_(faults) {}

 protected:
  bool IsAhead(const VersionStamp& theirs,
               const VersionStamp& ours) const override {
    return !faults_.no_anti_entropy && AntiEntropy::IsAhead(theirs, ours);
  }

 private:
  const FleetFaults faults_;
};

}  // namespace

FleetNode::FleetNode(const Member& self, const FleetFaults& faults)
    : table(std::make_unique<FaultyTable>(self, faults)),
      exchange(std::make_unique<GossipExchange>(*table, queue)),
      detector(std::make_unique<FailureDetector>(*table, DetectorSettings{})),
      anti_entropy(std::make_unique<FaultyAntiEntropy>(faults)) {
  table->AddListener(&queue);
}

void FleetNode::Apply(const VersionStamp& stamp, const FleetFaults& faults) {
  if (stamp.version > in_force.version || faults.apply_older) {
    has_regressed = has_regressed || stamp.version < in_force.version;
    in_force = stamp;
  }
}

FleetDriver::FleetDriver(int nodes, int regions, std::uint64_t seed,
                         const FleetFaults& faults)
    : faults_(faults), random_(seed) {
  std::vector<Member> members;
  for (int i = 0; i < nodes; ++i) {
    Member member;
    member.vm = VmId("vm-" + std::to_string(i));
    member.endpoint = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    const int region = i % regions;
    actual_region_.push_back(region);
    member.region = RegionId(
        "region-" + std::to_string(faults.ignore_regions ? 0 : region));
    member.failure_domain =
        FailureDomainId("domain-" + std::to_string(i / regions % 2));
    member.incarnation = 1;
    members.push_back(member);
  }
  for (const Member& it : members) {
    nodes_.push_back(std::make_unique<FleetNode>(it, faults));
    for (const Member& other : members) {
      (void)nodes_.back()->table->Merge(other, MergeSource::kTableSync, now_);
    }
  }
}

void FleetDriver::Replace(int i, const Member& self) {
  nodes_[i] = std::make_unique<FleetNode>(self, faults_);
  const Member& peer = this->self((i + 1) % size());
  (void)nodes_[i]->table->Merge(peer, MergeSource::kTableSync, now_);
}

void FleetDriver::Run(int seconds) {
  for (int i = 0; i < seconds * kTicksPerSecond; ++i) {
    Tick();
  }
}

void FleetDriver::Tick() {
  now_ += kTick;
  std::vector<Envelope> waiting;
  waiting.swap(envelopes_);
  for (Envelope& it : waiting) {
    if (it.due <= now_) {
      it.deliver();
    } else {
      envelopes_.push_back(std::move(it));
    }
  }
  for (int i = 0; i < size(); ++i) {
    FleetNode& at = node(i);
    if (at.dead || at.frozen) {
      continue;
    }
    for (const DetectorAction& it : at.detector->Tick(now_, random_)) {
      if (const auto* probe = std::get_if<SendProbe>(&it)) {
        Ping(i, IndexOf(probe->target), probe->probe);
      } else if (const auto* ask = std::get_if<SendIndirectProbe>(&it)) {
        PingIndirect(i, IndexOf(ask->via), IndexOf(ask->target), ask->probe);
      } else {
        ++at.pauses;
      }
    }
    const auto pull = at.anti_entropy->Tick(at.in_force, now_);
    if (pull) {
      Pull(i, IndexOf(pull->peer));
    }
  }
}

void FleetDriver::Pull(int from, int peer) {
  const FleetNode& at = node(peer);
  if (at.dead || at.frozen || !CanCommunicate(from, peer)) {
    node(from).anti_entropy->OnPullEnd(false, now_, random_);
    return;
  }
  const VersionStamp answer = at.in_force;
  const auto ticks = 1 + random_.Below(network.max_delay_ticks);
  envelopes_.push_back({now_ + kTick * ticks, [this, from, answer] {
                          node(from).Apply(answer, faults_);
                          node(from).anti_entropy->OnPullEnd(true, now_,
                                                             random_);
                        }});
}

void FleetDriver::Post(int from, int to, const std::function<void()>& deliver) {
  const int copies =
      random_.Below(100) < static_cast<unsigned>(network.repeat_percent) ? 2
                                                                         : 1;
  for (int i = 0; i < copies; ++i) {
    if (random_.Below(100) < static_cast<unsigned>(network.drop_percent)) {
      continue;
    }
    const auto ticks = 1 + random_.Below(network.max_delay_ticks);
    envelopes_.push_back({now_ + kTick * ticks, [this, from, to, deliver] {
                            const FleetNode& at = node(to);
                            if (!at.dead && !at.frozen &&
                                CanCommunicate(from, to)) {
                              deliver();
                            }
                          }});
  }
}

void FleetDriver::Ping(int from, int to, ProbeId probe) {
  if (faults_.ack_for_dead && node(to).dead) {
    node(from).detector->OnAck(probe, 0, now_);
    return;
  }
  const GossipMessage ping = ComposeMessage(from, self(to).vm);
  Post(from, to, [this, from, to, probe, ping] {
    Receive(to, ping);
    const GossipMessage ack = ComposeMessage(to, self(from).vm);
    Post(to, from, [this, from, probe, ack] {
      Receive(from, ack);
      node(from).detector->OnAck(probe, ack.known_incarnation, now_);
    });
  });
}

void FleetDriver::PingIndirect(int from, int via, int to, ProbeId probe) {
  Post(from, via, [this, from, via, to, probe] {
    const GossipMessage ping = ComposeMessage(via, self(to).vm);
    Post(via, to, [this, from, via, to, probe, ping] {
      Receive(to, ping);
      Post(to, via, [this, from, via, probe] {
        Post(via, from, [this, from, probe] {
          node(from).detector->OnIndirectAck(probe, now_);
        });
      });
    });
  });
}

void FleetDriver::Receive(int at, const GossipMessage& message) {
  FleetNode& receiver = node(at);
  receiver.exchange->Absorb(message, now_);
  (void)receiver.anti_entropy->OnPeerVersion(message.from, message.in_force,
                                             receiver.in_force, now_, random_);
}

GossipMessage FleetDriver::ComposeMessage(int from, const VmId& to) {
  GossipMessage message = node(from).exchange->Compose(to);
  message.in_force = node(from).in_force;
  return message;
}

bool FleetDriver::CanCommunicate(int a, int b) const {
  return !is_partitioned_ ||
         (actual_region_[a] == 0) == (actual_region_[b] == 0);
}

int FleetDriver::IndexOf(const VmId& vm) const {
  return std::stoi(vm.str().substr(3));
}

bool FleetDriver::AllAgree() const {
  for (const auto& at : nodes_) {
    for (const auto& other : nodes_) {
      const Member* stored = at->table->Find(other->table->self().vm);
      const bool alive =
          stored != nullptr && stored->state == MemberState::kAlive;
      if (!at->dead && !other->dead && !alive) {
        return false;
      }
    }
  }
  return true;
}

bool FleetDriver::AllConsiderDead(int i) const {
  for (const auto& at : nodes_) {
    const Member* stored = at->table->Find(self(i).vm);
    if (!at->dead && stored != nullptr && IsLive(*stored)) {
      return false;
    }
  }
  return true;
}

}  // namespace cumin::test
