#pragma once

#include <mutex>
#include <optional>

#include "cumin_core/time.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** The target on this VM, as it announces itself. Thread-safe. */
class TargetSlot {
 public:
  /** Told of changes of the announced target. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** @param target  the target now, or nothing when it is gone */
    virtual void TargetChanged(
        const std::optional<AnnouncedTarget>& target) = 0;
  };

  /** @param listener  told of changes from now on, or null */
  void SetListener(Listener* listener);

  /** Takes an announcement, which also counts as a heartbeat. */
  void Announce(const AnnouncedTarget& target, MonoTime now);

  /** Drops the target when its last announcement is older than the limit.
      @returns true when the target was dropped */
  bool Expire(MonoTime now, Duration limit);

  /** @returns the target, or nothing */
  std::optional<AnnouncedTarget> Current() const;

 private:
  mutable std::mutex mutex_;
  Listener* listener_ = nullptr;
  std::optional<AnnouncedTarget> target_;
  MonoTime last_announced_;
};

/** Parses and checks a target's announcement.
    @param text  JSON with service, address, slots and state
    @returns the target, or kInvalid naming the field and its range */
Result<AnnouncedTarget> ParseAnnouncement(const std::string& text);

}  // namespace cumin
