#include "cumin_fleet/contact_list.h"

#include <utility>

namespace cumin {

namespace {

constexpr char kSeparator = ' ';

}  // namespace

std::string ToString(const Contact& contact) {
  std::string text = ToString(contact.endpoint);
  if (contact.region) {
    text += kSeparator + contact.region->str();
  }
  return text;
}

Result<Contact> ParseContact(const std::string& text) {
  const std::size_t end = text.find(kSeparator);
  const Result<Endpoint> endpoint = ParseEndpoint(text.substr(0, end));
  if (!endpoint) {
    return endpoint.error();
  }
  Contact contact;
  contact.endpoint = endpoint.value();
  if (end != std::string::npos) {
    contact.region = RegionId(text.substr(end + 1));
  }
  return contact;
}

ContactList::ContactList(std::vector<Contact> contacts, RegionId own)
    : contacts_(std::move(contacts)), own_(std::move(own)) {}

std::optional<Endpoint> ContactList::Next(const std::set<RegionId>& known,
                                          Random& random) {
  std::vector<std::size_t> own_region;
  std::vector<std::size_t> unknown_regions;
  for (std::size_t i = 0; i < contacts_.size(); ++i) {
    const std::optional<RegionId>& region = contacts_[i].region;
    if (region && *region == own_) {
      own_region.push_back(i);
    } else if (!region || known.count(*region) == 0) {
      unknown_regions.push_back(i);
    }
  }
  const bool needs_own_region = joined_own_region_ < kOwnRegionContacts;
  const std::vector<std::size_t>& candidates =
      needs_own_region && !own_region.empty() ? own_region : unknown_regions;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return Take(candidates[random.Below(candidates.size())]);
}

void ContactList::OnJoined() {
  if (!last_) {
    return;
  }
  if (!last_->region || *last_->region == own_) {
    ++joined_own_region_;
  }
}

std::optional<Endpoint> ContactList::Take(std::size_t index) {
  last_ = std::move(contacts_[index]);
  contacts_.erase(contacts_.begin() + static_cast<std::ptrdiff_t>(index));
  return last_->endpoint;
}

}  // namespace cumin
