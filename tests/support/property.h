#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace cumin::test {

/** Runs a RapidCheck property inside a CppUnit test.

    Fails the enclosing test when the property does not hold. The seed and the
    number of cases come from the test program's `--seed` and `--count`.

    @param name      the invariant that is checked
    @param property  a callable that uses RC_ASSERT
*/
template <typename Property>
void CheckProperty(const std::string& name, Property&& property) {
  CPPUNIT_ASSERT_MESSAGE(name,
                         rc::check(name, std::forward<Property>(property)));
}

/** Verifies that a property detects an injected fault: fails the enclosing test
    unless RapidCheck falsifies the property.

    @param name      the invariant that the fault violates
    @param property  the same property with the fault injected
*/
template <typename Property>
void CheckPropertyFails(const std::string& name, Property&& property) {
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata{name, name},
      rc::detail::configuration().testParams);
  rc::detail::FailureResult failure;
  CPPUNIT_ASSERT_MESSAGE(name + ": the injected fault was not detected",
                         result.match(failure));
}

}  // namespace cumin::test
