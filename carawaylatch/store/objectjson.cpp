// JSON with nlohmann::json, base64 with libcrypto. decode() catches the exceptions of
// the JSON library and returns InvalidArgument.
#include "carawaylatch/store/objectjson.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace carawaylatch::store
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t Base64Group = 4; // characters for each three bytes

std::string toBase64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * Base64Group + 1, '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out(text.size() / Base64Group * 3, '\0');
    const int n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (n < 0) {
        throw std::invalid_argument("value is not base64");
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    out.resize(static_cast<std::size_t>(n) - padding);
    return out;
}

Json toJson(const Object &object)
{
    return {{"name", object.name}, {"version", object.version.value}, {"value", toBase64(object.value)}};
}

Object parseObject(const Json &json)
{
    return {json.at("name").get<std::string>(), fromBase64(json.at("value").get<std::string>()), Version{json.at("version").get<std::uint64_t>()}};
}

VmRecord parseVm(const Json &json)
{
    VmRecord vm;
    vm.name = json.at("name").get<std::string>();
    vm.role = json.at("role") == "router" ? VmRecord::Role::Router : VmRecord::Role::Upstream;
    vm.state = json.at("state") == "leaving" ? VmRecord::State::Leaving : VmRecord::State::Live;
    vm.endpoint = {json.at("address").get<std::string>(), json.at("port").get<std::uint16_t>()};
    vm.domain = base::FailureDomain(json.at("failure_domain").get<std::string>());
    return vm;
}

template <typename T, typename Reader>
base::Result<T> decode(std::string_view text, Reader reader)
{
    try {
        return reader(Json::parse(text));
    } catch (const std::exception &error) {
        return base::fail(base::ErrorKind::InvalidArgument, std::string("not a valid response of the object API: ") + error.what());
    }
}

} // namespace

std::string encodeObject(const Object &object)
{
    return toJson(object).dump();
}

std::string encodeChanges(const ObjectChanges &changes)
{
    Json items = Json::array();
    for (const auto &it : changes.written) {
        items.push_back(toJson(it));
    }
    return Json{{"version", changes.upTo.value}, {"items", std::move(items)}, {"removed", changes.removed}}.dump();
}

std::string encodeVersion(Version version)
{
    return Json{{"version", version.value}}.dump();
}

std::string encodeVms(const std::vector<VmRecord> &vms)
{
    Json items = Json::array();
    for (const auto &it : vms) {
        items.push_back({{"name", it.name},
                         {"role", it.role == VmRecord::Role::Router ? "router" : "upstream"},
                         {"state", it.state == VmRecord::State::Live ? "live" : "leaving"},
                         {"address", it.endpoint.address},
                         {"port", it.endpoint.port},
                         {"failure_domain", it.domain.value()}});
    }
    return Json{{"items", std::move(items)}}.dump();
}

base::Result<Object> decodeObject(std::string_view text)
{
    return decode<Object>(text, parseObject);
}

base::Result<ObjectChanges> decodeChanges(std::string_view text)
{
    return decode<ObjectChanges>(text, [](const Json &json) {
        ObjectChanges changes;
        changes.upTo = Version{json.at("version").get<std::uint64_t>()};
        for (const auto &it : json.at("items")) {
            changes.written.push_back(parseObject(it));
        }
        if (json.contains("removed")) {
            changes.removed = json.at("removed").get<std::vector<std::string>>();
        }
        return changes;
    });
}

base::Result<Version> decodeVersion(std::string_view text)
{
    return decode<Version>(text, [](const Json &json) {
        return Version{json.at("version").get<std::uint64_t>()};
    });
}

base::Result<std::vector<VmRecord>> decodeVms(std::string_view text)
{
    return decode<std::vector<VmRecord>>(text, [](const Json &json) {
        std::vector<VmRecord> vms;
        for (const auto &it : json.at("items")) {
            vms.push_back(parseVm(it));
        }
        return vms;
    });
}

} // namespace carawaylatch::store
