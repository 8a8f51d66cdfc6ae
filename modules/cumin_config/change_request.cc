#include "cumin_config/change_request.h"

#include <cstdio>
#include <set>

namespace cumin {

namespace {

Error RequestError(const std::string& field, const std::string& reason) {
  return Error{ErrorCode::kInvalid, "", 0, field, reason};
}

Result<void> CheckText(const std::string& field, const std::string& text,
                       std::size_t max_bytes) {
  if (text.empty() || text.size() > max_bytes) {
    return RequestError(
        field, "must have 1 to " + std::to_string(max_bytes) + " bytes");
  }
  for (const char it : text) {
    if (static_cast<unsigned char>(it) < ' ') {
      return RequestError(field, "must be one line of text");
    }
  }
  return Ok();
}

}  // namespace

ChangeId MakeChangeId(Random& random) {
  char buf[19];
  std::snprintf(buf, sizeof(buf), "c-%016llx",
                static_cast<unsigned long long>(random.Next()));
  return ChangeId(buf);
}

Result<void> CheckRequest(const ChangeRequest& request) {
  if (request.change_id.empty()) {
    return RequestError("change_id", "is required");
  }
  const Result<void> author =
      CheckText("author", request.author, kMaxAuthorBytes);
  if (!author) {
    return author.error();
  }
  const Result<void> note = CheckText("note", request.note, kMaxNoteBytes);
  if (!note) {
    return note.error();
  }
  if (request.edits.empty() && !request.rollback_to) {
    return RequestError("edits", "must name at least one part");
  }
  if (request.rollback_to &&
      (*request.rollback_to == 0 || *request.rollback_to > request.based_on)) {
    return RequestError("rollback_to", "must be a version from 1 to " +
                                           std::to_string(request.based_on));
  }
  std::set<PartName> names;
  for (const PartEdit& it : request.edits) {
    if (!names.insert(it.name).second) {
      return RequestError("edits", "name part " + it.name.str() + " twice");
    }
  }
  return Ok();
}

}  // namespace cumin
