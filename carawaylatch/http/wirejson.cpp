// Exceptions of nlohmann::json are caught in decode() and returned as errors.
#include "carawaylatch/http/wirejson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace carawaylatch::http
{

namespace
{

using Json = nlohmann::json;

constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

template <typename T, typename Reader>
base::Result<T> decode(std::string_view text, std::string_view what, Reader reader)
{
    try {
        return reader(Json::parse(text));
    } catch (const Json::exception &ec) {
        return base::fail(base::ErrorKind::InvalidArgument, std::string(what) + " cannot be decoded: " + ec.what());
    }
}

base::Incarnation parseIncarnation(const Json &json)
{
    return {fromHex(json.at("incarnation").get<std::string>())};
}

upstreams::ReportedState parseReportedState(const std::string &name)
{
    if (name == "leaving") {
        return upstreams::ReportedState::Leaving;
    }
    return name == "loading" ? upstreams::ReportedState::Loading : upstreams::ReportedState::Live;
}

relay::DoneEvent parseDoneEvent(const Json &json)
{
    relay::DoneEvent done;
    done.count = json.at("count").get<std::uint64_t>();
    done.finishReason = json.value("finish_reason", "stop");
    const Json &usage = json.at("usage");
    done.usage.promptTokens = usage.value("prompt_tokens", std::uint64_t{0});
    done.usage.cachedTokens = usage.value("cached_tokens", std::uint64_t{0});
    done.usage.completionTokens = usage.value("completion_tokens", std::uint64_t{0});
    return done;
}

std::string_view engineOrderName(fleet::EngineOrderKind kind)
{
    static constexpr std::array<std::string_view, 3> OrderNames{"load_weights", "load_adapter", "set_role"};
    return OrderNames.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string toHex(std::uint64_t value)
{
    std::array<char, HexDigits> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, HexBase).ptr;
    const std::string_view digits(buf.data(), static_cast<std::size_t>(end - buf.data()));
    return std::string(HexDigits - digits.size(), '0').append(digits);
}

std::uint64_t fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, HexBase);
    return ec == std::errc{} && end == text.data() + text.size() ? value : 0;
}

std::string encodeEngineRequest(const relay::EngineRequest &request)
{
    Json json{{"model", request.model.value()},
              {"prompt", request.prompt},
              {"max_tokens", request.maxTokens},
              {"priority", request.trafficClass == base::TrafficClass::Interactive ? 0 : 1},
              {"cache_salt", toHex(request.salt.value)}};
    if (request.continuation) {
        json["continue_from"] = request.continuation->firstIndex;
        json["generated"] = request.continuation->generated;
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeEngineOrder(const fleet::EngineOrder &order)
{
    return Json{{"fence", order.fence.value},
                {"op", engineOrderName(order.kind)},
                {"weights_version", order.weightsVersion.value},
                {"adapter", order.adapter},
                {"role", order.role}}
        .dump();
}

base::Result<EngineEvent> decodeEngineEvent(std::string_view data)
{
    return decode<EngineEvent>(data, "the engine's event", [](const Json &json) -> EngineEvent {
        if (json.value("done", false)) {
            return parseDoneEvent(json);
        }
        return relay::TokenEvent{json.at("index").get<std::uint64_t>(), json.at("text").get<std::string>()};
    });
}

base::Result<upstreams::LoadReport> decodeLoadReport(std::string_view body)
{
    return decode<upstreams::LoadReport>(body, "the load report", [](const Json &json) {
        upstreams::LoadReport report;
        report.incarnation = parseIncarnation(json);
        report.model = base::ModelId(json.value("model", ""));
        report.weightsVersion = {json.value("weights_version", std::uint64_t{0})};
        report.adapter = json.value("adapter", "");
        report.state = parseReportedState(json.value("state", "live"));
        report.running = json.value("running", 0U);
        report.waiting = json.value("waiting", 0U);
        report.queuedTokens = json.value("queued_tokens", std::uint64_t{0});
        report.usedBlocks = json.value("used_blocks", std::uint64_t{0});
        report.capacityBlocks = json.value("capacity_blocks", std::uint64_t{0});
        report.prefillTokensPerSecond = json.value("prefill_tokens_per_second", 0.0);
        report.decodeMsPerToken = json.value("decode_ms_per_token", 0.0);
        report.age = base::milliseconds{json.value("age_ms", std::int64_t{0})};
        return report;
    });
}

base::Result<prefix::CacheEvents> decodeCacheEvents(std::string_view body)
{
    return decode<prefix::CacheEvents>(body, "the cache events", [](const Json &json) {
        prefix::CacheEvents events;
        events.incarnation = parseIncarnation(json);
        events.next = json.at("next").get<std::uint64_t>();
        for (const auto &it : json.at("events")) {
            const bool isStored = it.at("op") == "stored";
            events.events.push_back({it.at("seq").get<std::uint64_t>(), isStored ? prefix::CacheOperation::Stored : prefix::CacheOperation::Evicted,
                                     fromHex(it.at("block").get<std::string>())});
        }
        return events;
    });
}

RefusalBody decodeRefusal(std::string_view body)
{
    const auto refusal = decode<RefusalBody>(body, "the refusal", [](const Json &json) {
        const Json &error = json.at("error");
        return RefusalBody{error.value("type", "overloaded"), error.value("message", "")};
    });
    return refusal ? refusal.value() : RefusalBody{"overloaded", "the upstream refused without stating a reason"};
}

} // namespace carawaylatch::http
