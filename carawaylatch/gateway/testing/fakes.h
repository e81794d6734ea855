// Helpers shared by the gateway's tests.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <charconv>
#include <stdexcept>
#include <string>

#include "carawaylatch/gateway/decoder.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::gateway::testing
{

// Decodes "POOL PHASE BORN_MS WEIGHTS [SOFTWARE]" for upstreams, "VERSION [POOL]" for tables, whose pool has
// resumable streams, and "MODEL VERSION" for weights. Throws for an upstream "throw".
class PlainTextDecoder : public FleetDecoder
{
public:
    base::Result<proxy::RouteTable> decodeTable(std::string_view text) const override
    {
        const auto words = split(text);
        const auto version = words.empty() ? 0 : number(words[0]);
        if (version == 0) {
            return base::fail(base::ErrorKind::InvalidArgument, "not a table");
        }
        proxy::RouteTable table;
        table.version = version;
        if (words.size() > 1) {
            proxy::Route route;
            route.kind = proxy::CallKind::Stream;
            route.isResumable = true;
            route.pools.push_back({base::PoolName(words[1]), 1});
            table.routes.push_back(std::move(route));
        }
        return table;
    }
    base::Result<proxy::Upstream> decodeUpstream(std::string_view name, std::string_view text) const override
    {
        if (text == "throw") {
            throw std::runtime_error("asked to throw");
        }
        const auto words = split(text);
        if (words.size() != 4 && words.size() != 5) {
            return base::fail(base::ErrorKind::InvalidArgument, "not an upstream");
        }
        proxy::Upstream upstream;
        upstream.id = base::UpstreamId(name);
        upstream.pool = base::PoolName(words[0]);
        upstream.endpoint = base::Endpoint{"127.0.0.1", 1};
        upstream.phase = words[1] == "ready" ? proxy::UpstreamPhase::Ready : proxy::UpstreamPhase::Draining;
        upstream.startTimeMs = number(words[2]);
        upstream.software = base::SoftwareVersion(words.size() == 5 ? words[4] : std::string_view{});
        upstream.models[base::ModelId("m")] = base::WeightsVersion{number(words[3])};
        return upstream;
    }
    base::Result<std::pair<base::ModelId, base::WeightsVersion>> decodeWeights(std::string_view text) const override
    {
        const auto words = split(text);
        if (words.size() != 2) {
            return base::fail(base::ErrorKind::InvalidArgument, "not a weights version");
        }
        return std::pair{base::ModelId(words[0]), base::WeightsVersion{number(words[1])}};
    }

private:
    static std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> words;
        while (!text.empty()) {
            const std::size_t space = text.find(' ');
            words.push_back(text.substr(0, space));
            text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
        }
        return words;
    }
    static std::uint64_t number(std::string_view text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }
};

// A log that discards its lines.
class NullLog
{
public:
    NullLog()
        : m_descriptor(::open("/dev/null", O_WRONLY | O_CLOEXEC))
        , log(m_descriptor, 65'536, m_clock)
    {
    }
    ~NullLog()
    {
        ::close(m_descriptor);
    }
    NullLog(const NullLog &) = delete;
    NullLog &operator=(const NullLog &) = delete;

private:
    base::ManualClock m_clock;
    int m_descriptor;

public:
    telemetry::EventLog log;
};

} // namespace carawaylatch::gateway::testing
