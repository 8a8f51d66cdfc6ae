#include "cumin_fleet/gossip_queue.h"

#include <algorithm>
#include <cmath>

namespace cumin {

GossipQueue::GossipQueue(const GossipSettings& settings)
    : settings_(settings) {}

GossipQueue::~GossipQueue() { order_.clear(); }

void GossipQueue::Push(const Member& member) {
  Item& item = items_[member.vm];
  if (item.is_linked()) {
    order_.erase(order_.iterator_to(item));
  }
  item.member = member;
  item.sent = 0;
  item.sequence = next_sequence_++;
  order_.insert(item);
}

std::vector<Member> GossipQueue::Take(std::size_t member_count) {
  std::vector<Item*> chosen;
  std::size_t bytes = 0;
  for (Item& it : order_) {
    const std::size_t n = EstimateBytes(it.member);
    if (chosen.size() >= settings_.max_updates ||
        bytes + n > settings_.max_bytes) {
      break;
    }
    bytes += n;
    chosen.push_back(&it);
  }
  const int limit = RetransmitLimit(member_count);
  std::vector<Member> members;
  for (Item* it : chosen) {
    members.push_back(it->member);
    RecordSend(*it, limit);
  }
  return members;
}

void GossipQueue::OnReceivedFromPeer(const Member& member,
                                     std::size_t member_count) {
  const auto it = items_.find(member.vm);
  if (it != items_.end() && it->second.member == member) {
    RecordSend(it->second, RetransmitLimit(member_count));
  }
}

void GossipQueue::RecordSend(Item& item, int limit) {
  order_.erase(order_.iterator_to(item));
  if (++item.sent < limit) {
    order_.insert(item);
  } else {
    items_.erase(VmId(item.member.vm));
  }
}

void GossipQueue::OnMemberChanged(const Member* /*before*/, const Member& after,
                                  MergeSource source) {
  if (source == MergeSource::kGossip) {
    Push(after);
  }
}

void GossipQueue::OnMemberExpired(const Member& last) {
  const auto it = items_.find(last.vm);
  if (it == items_.end()) {
    return;
  }
  order_.erase(order_.iterator_to(it->second));
  items_.erase(it);
}

bool GossipQueue::HasRecentUpdate() const {
  return !order_.empty() && order_.begin()->sent < settings_.eager_sends;
}

int GossipQueue::RetransmitLimit(std::size_t member_count) const {
  const double scale = std::log10(static_cast<double>(member_count) + 1.0);
  return std::max(
      1, static_cast<int>(std::ceil(settings_.retransmit_factor * scale)));
}

}  // namespace cumin
