// Entry point of all test programs. Prints the RapidCheck seed and count, runs
// the registered CppUnit suites and prints the number of passed and failed
// tests.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr int kDefaultCount = 200;

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seed = kDefaultSeed;
  int count = kDefaultCount;
  std::string test_name;
  CLI::App app{"cuminproxy tests"};
  app.add_option("--seed", seed, "seed of the RapidCheck properties");
  app.add_option("--count", count, "cases for each property");
  app.add_option("test", test_name, "run only the test with this name");
  CLI11_PARSE(app, argc, argv);

  const std::string rapidcheck_params =
      "seed=" + std::to_string(seed) + " max_success=" + std::to_string(count);
  setenv("RC_PARAMS", rapidcheck_params.c_str(), 1);
  std::cout << "RC_PARAMS=\"" << rapidcheck_params << "\"" << std::endl;

  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, test_name);

  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const int failed = collector.testFailuresTotal();
  const int passed = collector.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
