#include "cumin_proxy/fleet_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cumin {

namespace {

bool IsPresent(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

}  // namespace

void FleetView::Replace(std::vector<Member> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (members_ != members) {
    members_ = std::move(members);
    revision_ += 1;
  }
}

std::vector<Member> FleetView::Members() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Member> present;
  std::copy_if(members_.begin(), members_.end(), std::back_inserter(present),
               IsPresent);
  return present;
}

std::vector<Member> FleetView::Carriers(const ServiceId& service) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Member> carriers;
  for (const Member& it : members_) {
    if (IsPresent(it) && it.target && it.target->service == service) {
      carriers.push_back(it);
    }
  }
  return carriers;
}

}  // namespace cumin
