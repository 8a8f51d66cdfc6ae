#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cumin_routing/region_load.h"
#include "cumin_routing/target_chooser.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kWork = std::chrono::milliseconds(150);
/** The first seconds, in which the daemons learn the load, are not counted. */
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr Duration kLength = std::chrono::seconds(15);
constexpr int kRegions = 3;
constexpr int kDaemonsPerRegion = 60;
/** Every third VM has a target of the service. */
constexpr int kTargetInterval = 3;
constexpr int kSlots = 6;
constexpr int kMaxTries = 4;

/** One VM of the model: a daemon that chooses targets, and a target with a
    queue as long as its slots. */
struct ModelVm {
  Member member;
  std::unique_ptr<TargetChooser> chooser;
  /** When the calls in its slots end; the rest of the calls wait. */
  std::vector<MonoTime> running;
  std::vector<int> waiting;
  /** The daemons whose calls are running. */
  std::vector<int> callers;

  TargetLoad Load() const {
    return {static_cast<int>(running.size()), static_cast<int>(waiting.size()),
            kSlots, false, kWork};
  }
};

/** Daemons in three regions, each with a target beside it, that see each
    other's load only through the calls that they make. */
class RegionModel {
 public:
  /** @param utilization  arriving calls for each region, as a fraction of what
                          its targets can serve */
  explicit RegionModel(std::vector<double> utilization)
      : utilization_(std::move(utilization)), random_(1) {
    std::vector<Member> members;
    for (int i = 0; i < kRegions * kDaemonsPerRegion; ++i) {
      Member member;
      member.vm = VmId("vm-" + std::to_string(i));
      member.endpoint = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
      member.region = RegionId("region-" + std::to_string(i % kRegions));
      member.failure_domain = FailureDomainId(
          member.region.str() +
          (i / kRegions / kTargetInterval % 2 == 0 ? "a" : "b"));
      if (i / kRegions % kTargetInterval == 0) {
        member.target = AnnouncedTarget{ServiceId("s"), member.endpoint, kSlots,
                                        TargetState::kReady};
      }
      members.push_back(member);
    }
    for (const Member& it : members) {
      ModelVm vm;
      vm.member = it;
      vm.chooser = std::make_unique<TargetChooser>(
          Locality{it.region, it.failure_domain});
      vm.chooser->SetMembers(members, kStart);
      vms_.push_back(std::move(vm));
    }
  }

  void Run() {
    for (MonoTime now = kStart; now < kStart + kLength; now += kStep) {
      is_counted_ = now >= kStart + kWarmUp;
      for (ModelVm& it : vms_) {
        FinishCalls(it, now);
      }
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        const double calls = utilization_.at(i % kRegions) * kSlots /
                             kTargetInterval *
                             (std::chrono::duration<double>(kStep) /
                              std::chrono::duration<double>(kWork));
        if (random_.Unit() < calls) {
          Call(static_cast<int>(i), now);
        }
      }
    }
  }

  /** @returns the calls sent to another region, as a fraction of all tries */
  double CrossRegionShare() const {
    return static_cast<double>(cross_region_) / tries_;
  }

  /** @returns the calls that a target accepted, as a fraction of all calls */
  double AcceptedShare() const {
    return static_cast<double>(accepted_) / calls_;
  }

 private:
  void FinishCalls(ModelVm& vm, MonoTime now) {
    for (std::size_t i = 0; i < vm.running.size();) {
      if (vm.running[i] > now) {
        ++i;
        continue;
      }
      const int caller = vm.callers[i];
      vm.running.erase(vm.running.begin() + static_cast<std::ptrdiff_t>(i));
      vm.callers.erase(vm.callers.begin() + static_cast<std::ptrdiff_t>(i));
      if (!vm.waiting.empty()) {
        const int next = vm.waiting.front();
        vm.waiting.erase(vm.waiting.begin());
        Start(vm, next, now);
      }
      vms_[caller].chooser->Finish(vm.member.vm);
      vms_[caller].chooser->OnLoad(vm.member.vm, vm.Load(), now);
    }
  }

  void Start(ModelVm& vm, int caller, MonoTime now) {
    const double factor = 0.5 + random_.Unit();
    vm.running.push_back(now +
                         Duration(static_cast<Duration::rep>(
                             static_cast<double>(kWork.count()) * factor)));
    vm.callers.push_back(caller);
  }

  void Call(int from, MonoTime now) {
    calls_ += is_counted_ ? 1 : 0;
    ModelVm& caller = vms_[from];
    ChooseRequest request{ServiceId("s"), {}};
    for (int i = 0; i < kMaxTries; ++i) {
      Refusal refusal;
      const auto chosen =
          caller.chooser->Choose(request, now, random_, &refusal);
      if (!chosen) {
        return;
      }
      request.tried.push_back(chosen->vm);
      const bool is_other = chosen->region != caller.member.region;
      tries_ += is_counted_ ? 1 : 0;
      cross_region_ += is_counted_ && is_other ? 1 : 0;
      ModelVm& target = *std::find_if(
          vms_.begin(), vms_.end(),
          [&](const ModelVm& it) { return it.member.vm == chosen->vm; });
      if (target.running.size() < kSlots) {
        Start(target, from, now);
      } else if (target.waiting.size() < kSlots) {
        target.waiting.push_back(from);
      } else {
        caller.chooser->Finish(chosen->vm);
        caller.chooser->OnLoad(chosen->vm, target.Load(), now);
        continue;
      }
      accepted_ += is_counted_ ? 1 : 0;
      return;
    }
  }

  const std::vector<double> utilization_;
  SeededRandom random_;
  std::vector<ModelVm> vms_;
  bool is_counted_ = false;
  int calls_ = 0;
  int accepted_ = 0;
  int tries_ = 0;
  int cross_region_ = 0;
};

/** Work that is sent to other regions, whose links are billed by volume. */
class RegionSpillTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionSpillTest);
  CPPUNIT_TEST(TestOverloadOfAllRegionsStaysInEach);
  CPPUNIT_TEST(TestOverloadOfOneRegionIsServedByTheOthers);
  CPPUNIT_TEST(TestRegionIsTriedAgainAfterItsOverload);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: more calls than all regions can serve together. Each daemon took the
  // many targets of other regions for idle, since it had not called them for a
  // while.
  void TestOverloadOfAllRegionsStaysInEach() {
    RegionModel model({1.5, 1.5, 1.5});
    model.Run();
    CPPUNIT_ASSERT(model.CrossRegionShare() < 0.1);
  }

  // Load: callers move to one region.
  void TestOverloadOfOneRegionIsServedByTheOthers() {
    RegionModel model({1.6, 0.4, 0.4});
    model.Run();
    CPPUNIT_ASSERT(model.AcceptedShare() > 0.98);
  }

  void TestRegionIsTriedAgainAfterItsOverload() {
    RegionLoad load;
    load.OnReport(1.5, kStart);
    CPPUNIT_ASSERT(load.Utilization(kStart) >= 1.0);
    CPPUNIT_ASSERT(load.Utilization(kStart + std::chrono::seconds(4)) < 1.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionSpillTest);

}  // namespace

}  // namespace cumin
