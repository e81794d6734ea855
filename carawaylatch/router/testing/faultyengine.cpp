// The engine reports that it is idle and fast, so that strategies choose it.
#include "carawaylatch/router/testing/faultyengine.h"

#include <cppunit/TestAssert.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/http/wirejson.h"
#include "standin/enginemodel.h"

namespace carawaylatch::router::testing
{

using Json = nlohmann::json;

namespace
{

bool hasWrongIdentity(StreamFault fault)
{
    return fault == StreamFault::WrongAttempt || fault == StreamFault::WrongIncarnation || fault == StreamFault::WrongWeights
           || fault == StreamFault::WrongSalt;
}

} // namespace

FaultyEngine::FaultyEngine()
    : m_incarnation(base::newIncarnation())
    , m_server({"127.0.0.1", 0})
{
    auto &server = m_server.server();
    server.Get("/v1/load", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(Json{{"incarnation", http::toHex(m_incarnation.value)},
                                  {"model", "clause-1"},
                                  {"weights_version", 1},
                                  {"state", "live"},
                                  {"capacity_blocks", 1000},
                                  {"prefill_tokens_per_second", 1e9},
                                  {"decode_ms_per_token", 1}}
                                 .dump(),
                             "application/json");
    });
    server.Post("/v1/completions", [this](const httplib::Request &request, httplib::Response &response) {
        ++m_requestCount;
        const StreamFault fault = m_fault;
        const auto mismatch = [fault](StreamFault expected) {
            return fault == expected ? 1U : 0U;
        };
        const Json body = Json::parse(request.body);
        const std::uint64_t attempt = http::fromHex(request.get_header_value("X-Attempt-Id"));
        const std::uint64_t salt = http::fromHex(body.at("cache_salt").get<std::string>());
        response.set_header("X-Attempt-Id", http::toHex(attempt + mismatch(StreamFault::WrongAttempt)));
        response.set_header("X-Incarnation", http::toHex(m_incarnation.value + mismatch(StreamFault::WrongIncarnation)));
        response.set_header("X-Weights-Version", std::to_string(1 + mismatch(StreamFault::WrongWeights)));
        response.set_header("X-Cache-Salt", http::toHex(salt + mismatch(StreamFault::WrongSalt)));
        response.set_content(eventStream(fault, body.at("prompt").get<std::string>()), "text/event-stream");
    });
    CPPUNIT_ASSERT(m_server.start());
}

void FaultyEngine::setFault(StreamFault fault, std::uint32_t step)
{
    m_fault = fault;
    m_step = step;
}

const base::Endpoint &FaultyEngine::endpoint() const
{
    return m_server.endpoint();
}

int FaultyEngine::requestCount() const
{
    return m_requestCount;
}

std::string FaultyEngine::eventStream(StreamFault fault, const std::string &prompt) const
{
    std::string out;
    const std::uint32_t step = m_step;
    for (std::uint32_t i = 0; i < Tokens; ++i) {
        if (i == step && fault == StreamFault::ClosesEarly) {
            return out;
        }
        if (i == step && fault == StreamFault::SkipsToken) {
            continue;
        }
        const std::string text = hasWrongIdentity(fault) ? " foreign" : standin::tokenText(prompt, i);
        const std::string event = "data: " + Json{{"index", i}, {"text", text}}.dump() + "\n\n";
        out += event;
        if (i == step && fault == StreamFault::RepeatsToken) {
            out += event;
        }
    }
    const std::uint32_t count = fault == StreamFault::WrongCount ? Tokens + 1 : Tokens;
    return out + "data: " + Json{{"done", true}, {"count", count}, {"finish_reason", "length"}, {"usage", {{"prompt_tokens", 3}}}}.dump() + "\n\n";
}

} // namespace carawaylatch::router::testing
