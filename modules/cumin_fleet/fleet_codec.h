#pragma once

#include <json/json.h>

#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/json_object.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** @returns the member as a JSON object with short field names, since entries
    ride on every probe */
Json::Value ToJson(const Member& member);

/** Reads a member; errors are kept by the reader. */
Member ReadMember(JsonObject& fields);

/** @returns the members as a JSON list */
Json::Value ToJson(const std::vector<Member>& members);

/** Reads the list in `field`; errors are kept by the reader. */
std::vector<Member> ReadMembers(JsonObject& fields, const std::string& field);

/** @returns the message as a JSON object with short field names */
Json::Value ToJson(const GossipMessage& message);

/** Reads a message from a peer.
    @returns the message, or ErrorCode::kInvalid with the field */
Result<GossipMessage> ParseGossip(const Json::Value& value);

}  // namespace cumin
