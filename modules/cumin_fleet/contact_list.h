#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/random.h"

namespace cumin {

/** The address of a daemon, as registered in the store. */
struct Contact {
  Endpoint endpoint;
  /** Unknown in entries of other writers. */
  std::optional<RegionId> region;

  friend bool operator==(const Contact& a, const Contact& b) {
    return a.endpoint == b.endpoint && a.region == b.region;
  }
};

/** @returns the text of a contact's entry: "address:port region" */
std::string ToString(const Contact& contact);

/** @returns the contact, or kInvalid with the reason */
Result<Contact> ParseContact(const std::string& text);

/** The daemons through which a starting one joins.

    Each of them answers with its member table, and tables are large in a large
    fleet. So a daemon joins through a few contacts of its own region, and
    through one of each other region that it has not learnt of from those.
*/
class ContactList {
 public:
  /** Contacts of the own region through which to join. */
  static constexpr int kOwnRegionContacts = 3;

  /** @param contacts  without the daemon's own
      @param own       region of the daemon */
  ContactList(std::vector<Contact> contacts, RegionId own);

  /** @param known   regions of which members are known, besides the own one
      @param random  picks among the contacts of a region
      @returns the contact to join through next, or nothing when the daemon has
      joined through enough of them or tried all */
  std::optional<Endpoint> Next(const std::set<RegionId>& known, Random& random);

  /** The daemon has joined through the contact returned last. */
  void OnJoined();

 private:
  std::optional<Endpoint> Take(std::size_t index);

  std::vector<Contact> contacts_;
  const RegionId own_;
  std::optional<Contact> last_;
  int joined_own_region_ = 0;
};

}  // namespace cumin
