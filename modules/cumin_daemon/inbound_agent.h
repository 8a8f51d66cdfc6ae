#pragma once

#include <map>
#include <memory>

#include "cumin_admission/inbound_link.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_http/wake_up.h"

namespace cumin {

/** Asks the daemon beside a target for room on its link before a large body is
    sent there, and answers such questions. A question that gets no answer in
    time counts as granted. */
class InboundAgent final : public FleetAgent::NoteHandler {
 public:
  /** Smaller bodies are sent without a question. */
  static constexpr std::size_t kLargeBytes = std::size_t{16} << 10U;

  /** Both arguments outlive this. */
  InboundAgent(DaemonContext& context, FleetAgent& fleet);

  void Start() { fleet_.AddNoteHandler(kTopic, *this); }

  /** @param peer  the daemon beside the target
      @param n     bytes of the body
      @param left  time that the caller still has */
  Task<InboundGrant> Ask(VmId peer, std::size_t n, Duration left);

  void OnNote(const VmId& from, const Json::Value& body) override;

 private:
  static constexpr char kTopic[] = "room";

  struct Question {
    explicit Question(const asio::any_io_executor& executor)
        : wake_up(executor) {}

    WakeUp wake_up;
    InboundGrant grant;
  };

  DaemonContext& context_;
  FleetAgent& fleet_;
  InboundLink link_;
  std::map<std::uint64_t, Question*> questions_;
  std::uint64_t next_question_ = 1;
};

}  // namespace cumin
