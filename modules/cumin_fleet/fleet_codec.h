#pragma once

#include <json/json.h>

#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/json_object.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** @returns the member as a JSON object. Field names are short because entries
    are piggybacked on every probe. */
Json::Value ToJson(const Member& member);

/** Reads a member. Errors are recorded in `fields`. */
Member ReadMember(JsonObject& fields);

/** @returns the members as a JSON array */
Json::Value ToJson(const std::vector<Member>& members);

/** Reads the array in `field`. Errors are recorded in `fields`. */
std::vector<Member> ReadMembers(JsonObject& fields, const std::string& field);

/** @returns the message as a JSON object with short field names */
Json::Value ToJson(const GossipMessage& message);

/** Parses a gossip message received from a peer.
    @returns the message, or ErrorCode::kInvalid naming the field */
Result<GossipMessage> ParseGossip(const Json::Value& value);

}  // namespace cumin
