// Polls and answers as JSON.
#include "carawaylatch/gateway/watchrelay.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway
{

namespace
{

using Json = nlohmann::json;

constexpr auto LastKind = static_cast<std::uint64_t>(ObjectKind::Leases); // that a poll can ask for

base::Error malformedMessage()
{
    return base::fail(base::ErrorKind::InvalidArgument, "malformed message between routers; check that all routers run the same version");
}

std::optional<std::uint64_t> unsignedField(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_unsigned() ? std::optional(it->get<std::uint64_t>()) : std::nullopt;
}

std::optional<std::string> textField(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? std::optional(it->get<std::string>()) : std::nullopt;
}

std::optional<StoredObject> decodeObject(const Json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    auto name = textField(json, "name");
    auto text = textField(json, "text");
    const auto revision = unsignedField(json, "revision");
    if (!name || !text || !revision) {
        return std::nullopt;
    }
    return StoredObject{std::move(*name), std::move(*text), *revision, json.contains("removed")};
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t microseconds(base::Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::max(duration, base::Duration{})).count());
}

base::Duration fromMicroseconds(std::uint64_t value)
{
    constexpr std::uint64_t Max = 1'000'000'000'000; // eleven days
    return std::chrono::microseconds{std::min(value, Max)};
}

// A number for each kind, as pairs; no member if there is none.
void appendByKind(Json &json, const char *name, const std::map<ObjectKind, std::uint64_t> &numbers)
{
    for (const auto &[kind, number] : numbers) {
        json[name].push_back(Json::array({static_cast<std::uint64_t>(kind), number}));
    }
}

// Kinds and rows that can't be read are left out.
std::map<ObjectKind, std::uint64_t> decodeByKind(const Json &json, const char *name)
{
    std::map<ObjectKind, std::uint64_t> out;
    const auto rows = json.find(name);
    if (rows == json.end() || !rows->is_array()) {
        return out;
    }
    for (const Json &row : *rows) {
        if (row.is_array() && row.size() == 2 && row[0].is_number_unsigned() && row[1].is_number_unsigned() && row[0] <= LastKind) {
            out[static_cast<ObjectKind>(row[0].get<std::uint64_t>())] = row[1].get<std::uint64_t>();
        }
    }
    return out;
}

void appendToldAges(Json &json, const RelayAnswer &answer)
{
    std::map<ObjectKind, std::uint64_t> ages;
    for (const auto &[kind, age] : answer.toldAges) {
        ages[kind] = microseconds(age);
    }
    appendByKind(json, "told_age_us", ages);
}

Json refusalAnswer(const RelayAnswer &answer, RelayRefusal refusal)
{
    Json json{{"known", 0U}, {"revision", 0U}, {"age_us", 0U}, {"held_us", microseconds(answer.held)}, {"outage", 0U}, {"objects", Json::array()}};
    if (refusal != RelayRefusal::None) {
        json["refusal"] = static_cast<std::uint64_t>(refusal);
    }
    appendToldAges(json, answer);
    return json;
}

} // namespace

std::string encodeRelayPoll(const RelayPoll &poll)
{
    Json json{{"kind", static_cast<std::uint64_t>(poll.kind)}, {"since", poll.since}, {"wait_us", microseconds(poll.wait)}};
    appendByKind(json, "revisions", poll.revisions);
    return dump(json);
}

base::Result<RelayPoll> decodeRelayPoll(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return malformedMessage();
    }
    const auto kind = unsignedField(json, "kind");
    const auto since = unsignedField(json, "since");
    const auto wait = unsignedField(json, "wait_us");
    if (!kind || *kind > LastKind || !since || !wait) {
        return malformedMessage();
    }
    return RelayPoll{static_cast<ObjectKind>(*kind), *since, fromMicroseconds(*wait), decodeByKind(json, "revisions")};
}

std::string encodeRelayAnswer(const RelayAnswer &answer)
{
    if (!answer.isKnown) {
        return dump(refusalAnswer(answer, answer.refusal));
    }
    Json json{{"known", 1U}, {"revision", answer.revision}, {"age_us", microseconds(answer.age)}, {"held_us", microseconds(answer.held)}};
    json["outage"] = answer.returnAge && *answer.returnAge < FleetState::EntryReturnTime ? 1U : 0U; // for routers of the version before
    if (answer.returnAge) {
        json["return_age_us"] = microseconds(*answer.returnAge);
    }
    json["eras"] = 1U;
    appendToldAges(json, answer);
    if (answer.changeAge) {
        json["change_age_us"] = microseconds(*answer.changeAge);
    }
    Json objects = Json::array();
    for (const StoredObject &object : answer.objects) {
        Json row{{"name", object.name}, {"text", object.text}, {"revision", object.revision}};
        if (object.isRemoved) {
            row["removed"] = 1U;
        }
        objects.push_back(std::move(row));
    }
    json["objects"] = std::move(objects);
    std::string text = dump(json);
    return text.size() <= MaxRelayBytes ? text : dump(refusalAnswer(answer, RelayRefusal::Behind));
}

base::Result<RelayAnswer> decodeRelayAnswer(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return malformedMessage();
    }
    const auto known = unsignedField(json, "known");
    const auto revision = unsignedField(json, "revision");
    const auto age = unsignedField(json, "age_us");
    const auto held = unsignedField(json, "held_us");
    const auto outage = unsignedField(json, "outage");
    const auto objects = json.find("objects");
    if (!known || !revision || !age || !held || !outage || objects == json.end() || !objects->is_array()) {
        return malformedMessage();
    }
    // Routers of the version before compare revisions of different eras.
    const bool comparesEras = unsignedField(json, "eras") == 1U || eraOf(*revision) == 0;
    RelayAnswer answer{*known == 1 && comparesEras, *revision, fromMicroseconds(*age), fromMicroseconds(*held), {}, {}, {}};
    for (const auto &[kind, toldAge] : decodeByKind(json, "told_age_us")) {
        answer.toldAges[kind] = fromMicroseconds(toldAge);
    }
    if (const auto returnAge = unsignedField(json, "return_age_us")) {
        answer.returnAge = fromMicroseconds(*returnAge);
    } else if (*outage == 1) {
        answer.returnAge = base::Duration{}; // a router of the version before does not tell when
    }
    if (const auto changeAge = unsignedField(json, "change_age_us")) {
        answer.changeAge = fromMicroseconds(*changeAge);
    }
    const auto refusal = unsignedField(json, "refusal");
    if (*known != 1 && refusal && *refusal <= static_cast<std::uint64_t>(RelayRefusal::NoStore)) {
        answer.refusal = static_cast<RelayRefusal>(*refusal);
    }
    for (const Json &row : *objects) {
        auto object = decodeObject(row);
        if (!object) {
            return malformedMessage();
        }
        answer.objects.push_back(std::move(*object));
    }
    return answer;
}

} // namespace carawaylatch::gateway
