#include "cumin_proxy/fleet_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_proxy/blackboard.h"
#include "proxy/sample_config.h"

namespace cumin {

namespace {

constexpr std::uint64_t kSeed = 20261205;

DaemonSettings MakeSettings() {
  DaemonSettings settings;
  settings.vm = VmId("vm-1");
  return settings;
}

class FleetStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStateTest);
  CPPUNIT_TEST(TestTargetIsNotOfferedBeforeTheFirstConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against peers that send calls to a daemon which has just started
  // and refuses all of them.
  void TestTargetIsNotOfferedBeforeTheFirstConfiguration() {
    const SystemClock clock;
    Blackboard board(MakeSettings(), clock, kSeed);
    ConfigHolder config(board.config, board.metrics);
    Member self;
    self.vm = VmId("vm-1");
    FleetState state(board, config, self);
    board.target.Announce(
        AnnouncedTarget{ServiceId("orderdesk"), Endpoint{"127.0.0.1", 1}, 1,
                        TargetState::kReady},
        clock.Now());
    state.Tick();
    CPPUNIT_ASSERT(!state.Self().target);
    board.config.Offer(test::SampleSnapshot());
    state.Tick();
    CPPUNIT_ASSERT(state.Self().target);
    CPPUNIT_ASSERT(TargetState::kReady == state.Self().target->state);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateTest);

}  // namespace

}  // namespace cumin
