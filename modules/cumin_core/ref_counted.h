#pragma once

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace cumin {

/** Base class of immutable objects that threads share by reference count.

    The count is stored in the object, so that a `RefPtr` has the size of one
    pointer and can be made from a raw reference.

    @tparam Derived  the class that derives from this one
*/
template <typename Derived>
class RefCounted {
 public:
  RefCounted(const RefCounted&) = delete;
  RefCounted& operator=(const RefCounted&) = delete;

  friend void intrusive_ptr_add_ref(const Derived* object) {
    object->count_.fetch_add(1, std::memory_order_relaxed);
  }
  friend void intrusive_ptr_release(const Derived* object) {
    if (object->count_.fetch_sub(1, std::memory_order_acq_rel) == 1) {
      delete object;
    }
  }

 protected:
  RefCounted() = default;
  ~RefCounted() = default;

 private:
  friend Derived;
  mutable std::atomic<int> count_{0};
};

/** Shared ownership of a RefCounted object. */
template <typename T>
using RefPtr = boost::intrusive_ptr<T>;

}  // namespace cumin
