// Properties of acceptance under races, lost answers and outages, at the
// granularity of one store call.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config_samples.h"
#include "cumin_config/acceptance_plan.h"
#include "cumin_config/config_keys.h"
#include "support/fake_store.h"
#include "support/property.h"

namespace cumin {

namespace {

using test::FakeStore;
using test::StoreFault;

constexpr int kOperators = 3;
constexpr int kMaxAttempts = 4;

/** The deliberate faults that show that the properties can fail. */
enum class Mutation {
  kNone,
  /** The store swaps the head whatever index is expected. */
  kSwapWithoutCompare,
  /** Copies of replaced heads are not kept. */
  kNoHistory,
  /** Parts are not kept. */
  kNoParts,
  /** A lost answer is taken for a call that had no effect. */
  kLostMeansUnavailable,
};

/** A store that carries out a mutation and remembers every head. */
class MutantStore final : public FakeStore {
 public:
  explicit MutantStore(Mutation mutation) : mutation_(mutation) {}

  /** @returns the change ids that each version's head has had */
  const std::map<std::uint64_t, std::vector<ChangeId>>& winners() const {
    return winners_;
  }

 protected:
  Result<void> Swap(const std::string& key, const std::string& value,
                    std::uint64_t expected, const std::string& lease) override {
    const bool drop =
        (mutation_ == Mutation::kNoHistory &&
         key.rfind("config/version/", 0) == 0) ||
        (mutation_ == Mutation::kNoParts && key.rfind("config/part/", 0) == 0);
    if (drop) {
      return Ok();
    }
    if (key == kHeadKey && mutation_ == Mutation::kSwapWithoutCompare) {
      Put(key, value);
      Remember(value);
      return Ok();
    }
    const Result<void> swapped = FakeStore::Swap(key, value, expected, lease);
    if (swapped && key == kHeadKey) {
      Remember(value);
    }
    return swapped;
  }

 private:
  void Remember(const std::string& value) {
    const HeadRecord head = ParseHeadRecord(value, kHeadKey).value();
    winners_[head.change.version].push_back(head.change.change_id);
  }

  Mutation mutation_;
  std::map<std::uint64_t, std::vector<ChangeId>> winners_;
};

/** One scheduled store call: whose, and what happens to it. */
struct Step {
  int who = 0;
  StoreFault fault = StoreFault::kNone;
  bool apply_delayed = false;
};

/** Operators who race over one store, one store call at a time. */
class AcceptanceModel {
 public:
  explicit AcceptanceModel(Mutation mutation)
      : mutation_(mutation), store_(mutation), plans_(kOperators) {
    Start(0, 0);
    while (plans_[0] != nullptr) {
      RunStep({0, StoreFault::kNone, false});
    }
  }

  void RunStep(const Step& step) {
    if (step.apply_delayed) {
      store_.ApplyDelayed();
    }
    std::unique_ptr<AcceptancePlan>& plan = plans_[step.who];
    if (plan == nullptr) {
      // A stale note: the version that this operator saw last.
      Start(step.who, seen_[step.who]);
    }
    store_.SetNextFault(step.fault);
    const StoreAction action = plan->action();
    if (action.kind == StoreAction::Kind::kRead) {
      plan->OnRead(store_.Get(action.key));
    } else if (action.kind != StoreAction::Kind::kNone) {
      plan->OnWrite(Write(action));
    }
    CheckStoreIsWhole();
    if (plan->done()) {
      Collect(step.who);
    }
  }

  /** Lets every operator finish and delayed writes arrive, then compares what
      the operators were told with what the store holds. */
  void FinishAndCheck() {
    for (int i = 0; i < kOperators; ++i) {
      while (plans_[i] != nullptr) {
        RunStep({i, StoreFault::kNone, true});
      }
    }
    for (int i = 0; i < kOperators * kMaxAttempts; ++i) {
      store_.ApplyDelayed();
      CheckStoreIsWhole();
    }
    const std::map<ChangeId, std::uint64_t> accepted = CheckHistory();
    for (const AcceptanceOutcome& it : outcomes_) {
      const auto found = accepted.find(it.change.change_id);
      const bool stands = found != accepted.end();
      if (it.result == AcceptanceResult::kAccepted) {
        RC_ASSERT(stands);
        RC_ASSERT(found->second == it.change.version);
      } else if (it.result != AcceptanceResult::kUnknown) {
        RC_ASSERT(!stands);
      }
    }
  }

 private:
  void Start(int who, std::uint64_t based_on) {
    ChangeRequest request;
    request.change_id = ChangeId("c-" + std::to_string(++changes_));
    request.based_on = based_on;
    request.author = "operator-" + std::to_string(who);
    request.note = "change " + std::to_string(changes_);
    const std::string customer = "c" + std::to_string(who);
    request.edits = {{CustomerPartName(CustomerId(customer)),
                      test::SampleContract(customer, changes_)}};
    if (based_on == 0) {
      request.edits.push_back({MeshPartName(), test::SampleMesh()});
    }
    plans_[who] = std::make_unique<AcceptancePlan>(request, kMaxAttempts);
  }

  Result<void> Write(const StoreAction& action) {
    Result<void> answer = store_.CompareAndSwap(action.key, action.value,
                                                action.expected_index, "");
    const bool lost =
        !answer && answer.error().code == ErrorCode::kOutcomeUnknown;
    if (lost && mutation_ == Mutation::kLostMeansUnavailable) {
      return Error{ErrorCode::kUnavailable, "store", 0, "", "no answer"};
    }
    return answer;
  }

  void Collect(int who) {
    outcomes_.push_back(plans_[who]->outcome());
    seen_[who] = outcomes_.back().head_version;
    plans_[who].reset();
  }

  std::optional<HeadRecord> ReadRecord(const std::string& key) const {
    const auto it = store_.entries().find(key);
    if (it == store_.entries().end()) {
      return std::nullopt;
    }
    return ParseHeadRecord(it->second.value, key).value();
  }

  /** Each version has one winner, and no part is missing under the head. */
  void CheckStoreIsWhole() const {
    for (const auto& [version, ids] : store_.winners()) {
      RC_ASSERT(ids.size() == 1);
    }
    const std::optional<HeadRecord> head = ReadRecord(kHeadKey);
    if (!head) {
      return;
    }
    ConfigBundle bundle;
    bundle.head = *head;
    for (const ManifestEntry& it : head->manifest) {
      const auto part = store_.entries().find(PartKey(it.digest));
      RC_ASSERT(part != store_.entries().end());
      bundle.parts.push_back({it.name, part->second.value});
    }
    RC_ASSERT(static_cast<bool>(CheckParts(bundle.head, bundle.parts)));
  }

  /** The history has no gap, and each record refers to the one before.
      @returns the version of each accepted change */
  std::map<ChangeId, std::uint64_t> CheckHistory() const {
    std::map<ChangeId, std::uint64_t> accepted;
    const std::optional<HeadRecord> head = ReadRecord(kHeadKey);
    RC_ASSERT(head.has_value());
    std::string previous;
    for (std::uint64_t i = 1; i <= head->change.version; ++i) {
      const bool newest = i == head->change.version;
      const auto record = newest ? head : ReadRecord(VersionKey(i));
      RC_ASSERT(record.has_value());
      RC_ASSERT(record->change.version == i);
      RC_ASSERT(record->previous_digest == previous);
      RC_ASSERT(accepted.emplace(record->change.change_id, i).second);
      previous = DigestOf(*record);
    }
    RC_ASSERT(store_.winners().size() == head->change.version);
    return accepted;
  }

  Mutation mutation_;
  MutantStore store_;
  std::vector<std::unique_ptr<AcceptancePlan>> plans_;
  std::map<int, std::uint64_t> seen_;
  std::vector<AcceptanceOutcome> outcomes_;
  int changes_ = 0;
};

rc::Gen<Step> AnyStep() {
  const auto fault =
      rc::gen::weightedElement<StoreFault>({{12, StoreFault::kNone},
                                            {2, StoreFault::kStoreUnavailable},
                                            {2, StoreFault::kResponseLost},
                                            {1, StoreFault::kRequestLost},
                                            {1, StoreFault::kDelayed}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::who, rc::gen::inRange(0, kOperators)),
      rc::gen::set(&Step::fault, fault),
      rc::gen::set(&Step::apply_delayed,
                   rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
}

void CheckRace(Mutation mutation) {
  const int count = *rc::gen::inRange(10, 120);
  const auto steps = *rc::gen::container<std::vector<Step>>(
      static_cast<std::size_t>(count), AnyStep());
  AcceptanceModel model(mutation);
  for (const Step& it : steps) {
    model.RunStep(it);
  }
  model.FinishAndCheck();
}

class AcceptancePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcceptancePropertyTest);
  CPPUNIT_TEST(TestVersionsHaveOneWinner);
  CPPUNIT_TEST(TestHistoryIsGapless);
  CPPUNIT_TEST(TestPartsStandUnderTheHead);
  CPPUNIT_TEST(TestOutcomesAreTrue);
  CPPUNIT_TEST(TestRaces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestVersionsHaveOneWinner() {
    test::CheckPropertyFails("swap without compare", []() {
      CheckRace(Mutation::kSwapWithoutCompare);
    });
  }

  void TestHistoryIsGapless() {
    test::CheckPropertyFails("replaced heads are not copied",
                             []() { CheckRace(Mutation::kNoHistory); });
  }

  void TestPartsStandUnderTheHead() {
    test::CheckPropertyFails("parts are not kept",
                             []() { CheckRace(Mutation::kNoParts); });
  }

  void TestOutcomesAreTrue() {
    test::CheckPropertyFails("a lost answer is taken for no effect", []() {
      CheckRace(Mutation::kLostMeansUnavailable);
    });
  }

  void TestRaces() {
    test::CheckProperty(
        "one winner a version, whole parts, a gapless history, true outcomes",
        []() { CheckRace(Mutation::kNone); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcceptancePropertyTest);

}  // namespace

}  // namespace cumin
