// Properties of AcceptancePlan under concurrent operators, lost responses and
// store outages. Operators are interleaved at each store call.

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

/** Injected faults that each property must detect. */
enum class Mutation {
  kNone,
  /** The store replaces the head regardless of the expected index. */
  kSwapWithoutCompare,
  /** The store drops the copies of replaced heads. */
  kDropHistory,
  /** The store drops the parts. */
  kDropParts,
  /** A lost response is reported as a call that had no effect. */
  kLostTreatedAsUnavailable,
};

/** A store that applies a mutation and records every accepted head. */
class MutantStore final : public FakeStore {
 public:
  explicit MutantStore(Mutation mutation) : mutation_(mutation) {}

  /** @returns the change ids that became head, by version */
  const std::map<std::uint64_t, std::vector<ChangeId>>& winners() const {
    return winners_;
  }

 protected:
  Result<void> Swap(const std::string& key, const std::string& value,
                    std::uint64_t expected, const std::string& lease) override {
    const bool drop = (mutation_ == Mutation::kDropHistory &&
                       key.rfind("config/version/", 0) == 0) ||
                      (mutation_ == Mutation::kDropParts &&
                       key.rfind("config/part/", 0) == 0);
    if (drop) {
      return Ok();
    }
    if (key == kHeadKey && mutation_ == Mutation::kSwapWithoutCompare) {
      Put(key, value);
      RecordWinner(value);
      return Ok();
    }
    const Result<void> swapped = FakeStore::Swap(key, value, expected, lease);
    if (swapped && key == kHeadKey) {
      RecordWinner(value);
    }
    return swapped;
  }

 private:
  void RecordWinner(const std::string& value) {
    const HeadRecord head = ParseHeadRecord(value, kHeadKey).value();
    winners_[head.change.version].push_back(head.change.change_id);
  }

  Mutation mutation_;
  std::map<std::uint64_t, std::vector<ChangeId>> winners_;
};

/** One scheduled store call. */
struct Step {
  int operator_index = 0;
  StoreFault fault = StoreFault::kNone;
  bool apply_delayed = false;
};

/** Concurrent operators on one store, scheduled one store call at a time. */
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
    std::unique_ptr<AcceptancePlan>& plan = plans_[step.operator_index];
    if (plan == nullptr) {
      // The version that this operator saw last may be stale by now.
      Start(step.operator_index, last_seen_version_[step.operator_index]);
    }
    store_.SetNextFault(step.fault);
    const StoreAction action = plan->action();
    if (action.kind == StoreAction::Kind::kRead) {
      plan->OnRead(store_.Get(action.key));
    } else if (action.kind != StoreAction::Kind::kNone) {
      plan->OnWrite(Write(action));
    }
    CheckStoreIsConsistent();
    if (plan->done()) {
      CollectOutcome(step.operator_index);
    }
  }

  /** Runs every operator to completion, applies the delayed writes, then checks
      the reported outcomes against the store's content. */
  void FinishAndCheck() {
    for (int i = 0; i < kOperators; ++i) {
      while (plans_[i] != nullptr) {
        RunStep({i, StoreFault::kNone, true});
      }
    }
    for (int i = 0; i < kOperators * kMaxAttempts; ++i) {
      store_.ApplyDelayed();
      CheckStoreIsConsistent();
    }
    const std::map<ChangeId, std::uint64_t> accepted = CheckHistory();
    for (const AcceptanceOutcome& it : outcomes_) {
      const auto found = accepted.find(it.change.change_id);
      const bool in_history = found != accepted.end();
      if (it.result == AcceptanceResult::kAccepted) {
        RC_ASSERT(in_history);
        RC_ASSERT(found->second == it.change.version);
      } else if (it.result != AcceptanceResult::kUnknown) {
        RC_ASSERT(!in_history);
      }
    }
  }

 private:
  void Start(int operator_index, std::uint64_t based_on) {
    ChangeRequest request;
    request.change_id = ChangeId("c-" + std::to_string(++changes_));
    request.based_on = based_on;
    request.author = "operator-" + std::to_string(operator_index);
    request.note = "change " + std::to_string(changes_);
    const std::string customer = "c" + std::to_string(operator_index);
    request.edits = {{CustomerPartName(CustomerId(customer)),
                      test::SampleContract(customer, changes_)}};
    if (based_on == 0) {
      request.edits.push_back({MeshPartName(), test::SampleMesh()});
    }
    plans_[operator_index] =
        std::make_unique<AcceptancePlan>(request, kMaxAttempts);
  }

  Result<void> Write(const StoreAction& action) {
    Result<void> answer = store_.CompareAndSwap(action.key, action.value,
                                                action.expected_index, "");
    const bool lost =
        !answer && answer.error().code == ErrorCode::kOutcomeUnknown;
    if (lost && mutation_ == Mutation::kLostTreatedAsUnavailable) {
      return Error{ErrorCode::kUnavailable, "store", 0, "", "no answer"};
    }
    return answer;
  }

  void CollectOutcome(int operator_index) {
    outcomes_.push_back(plans_[operator_index]->outcome());
    last_seen_version_[operator_index] = outcomes_.back().head_version;
    plans_[operator_index].reset();
  }

  std::optional<HeadRecord> ReadRecord(const std::string& key) const {
    const auto it = store_.entries().find(key);
    if (it == store_.entries().end()) {
      return std::nullopt;
    }
    return ParseHeadRecord(it->second.value, key).value();
  }

  /** Checks that each version was accepted once and that the store holds every
      part of the head. */
  void CheckStoreIsConsistent() const {
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

  /** Checks that the history has no gaps and that each record refers to its
      predecessor.
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
  std::map<int, std::uint64_t> last_seen_version_;
  std::vector<AcceptanceOutcome> outcomes_;
  int changes_ = 0;
};

rc::Gen<Step> GenStep() {
  const auto fault =
      rc::gen::weightedElement<StoreFault>({{12, StoreFault::kNone},
                                            {2, StoreFault::kStoreUnavailable},
                                            {2, StoreFault::kResponseLost},
                                            {1, StoreFault::kRequestLost},
                                            {1, StoreFault::kDelayed}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::operator_index, rc::gen::inRange(0, kOperators)),
      rc::gen::set(&Step::fault, fault),
      rc::gen::set(&Step::apply_delayed,
                   rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
}

void CheckRace(Mutation mutation) {
  const int count = *rc::gen::inRange(10, 120);
  const auto steps = *rc::gen::container<std::vector<Step>>(
      static_cast<std::size_t>(count), GenStep());
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
  CPPUNIT_TEST(TestHeadPartsExist);
  CPPUNIT_TEST(TestOutcomesMatchStore);
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
                             []() { CheckRace(Mutation::kDropHistory); });
  }

  void TestHeadPartsExist() {
    test::CheckPropertyFails("parts are not kept",
                             []() { CheckRace(Mutation::kDropParts); });
  }

  void TestOutcomesMatchStore() {
    test::CheckPropertyFails("a lost answer is taken for no effect", []() {
      CheckRace(Mutation::kLostTreatedAsUnavailable);
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
