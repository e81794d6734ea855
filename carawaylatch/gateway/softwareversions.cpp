// Encoding of the object, and which versions to add and to remove.
#include "carawaylatch/gateway/softwareversions.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration MinStreamTime = base::seconds{30};
constexpr base::Duration MaxStreamTime = base::minutes{5}; // well below the time after which a silent router's objects are removed
constexpr int TriesOfStream = 2; // the one that begins it and the one that takes it up
constexpr base::Duration RetryPause = base::milliseconds{200}; // after a call that failed

bool isPlain(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '.' || byte == '-' || byte == '_';
}

// Takes the part of `text` before `separator`, and the separator, from its front.
std::string_view takeWord(std::string_view &text, char separator)
{
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

bool contains(const SoftwareByPool &pools, const base::PoolName &pool, const base::SoftwareVersion &software)
{
    const auto it = pools.find(pool);
    return it != pools.end() && it->second.contains(software);
}

void erase(SoftwareByPool &pools, const base::PoolName &pool, const base::SoftwareVersion &software)
{
    const auto it = pools.find(pool);
    if (it != pools.end() && it->second.erase(software) > 0 && it->second.empty()) {
        pools.erase(it);
    }
}

bool isStreamRoute(const proxy::Route &route)
{
    return route.kind == proxy::CallKind::Stream && route.isResumable;
}

// Decodes "POOL=VERSION,VERSION"; false if a part of it is malformed.
bool decodePool(std::string_view word, SoftwareRecord &record)
{
    const std::size_t equals = word.find('=');
    const auto pool = unescapeName(word.substr(0, equals));
    if (equals == std::string_view::npos || !pool || pool->empty()) {
        return false;
    }
    std::string_view versions = word.substr(equals + 1);
    bool isValid = true;
    bool hasMore = true;
    while (hasMore) {
        hasMore = versions.find(',') != std::string_view::npos;
        const auto software = unescapeName(takeWord(versions, ','));
        if (software) {
            record.add(base::PoolName(*pool), base::SoftwareVersion(*software));
        }
        isValid = isValid && software && contains(record.pools, base::PoolName(*pool), base::SoftwareVersion(*software));
    }
    return isValid;
}

} // namespace

std::string escapeName(std::string_view name)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string text;
    for (const char byte : name) {
        if (isPlain(byte)) {
            text.push_back(byte);
        } else {
            const auto value = static_cast<unsigned char>(byte);
            text.push_back('%');
            text.push_back(Digits[value >> 4U]);
            text.push_back(Digits[value & 15U]);
        }
    }
    return text;
}

std::optional<std::string> unescapeName(std::string_view text)
{
    std::string name;
    while (!text.empty()) {
        std::size_t used = 1;
        if (isPlain(text.front())) {
            name.push_back(text.front());
        } else {
            unsigned value = 0;
            const char *const digits = text.data() + 1;
            if (text.front() != '%' || text.size() < 3 || std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2) {
                return std::nullopt;
            }
            name.push_back(static_cast<char>(value));
            used = 3;
        }
        text.remove_prefix(used);
    }
    return name;
}

std::string encodePools(const SoftwareByPool &pools)
{
    std::string text;
    for (const auto &[pool, versions] : pools) {
        text.append(text.empty() ? "" : " ").append(escapeName(pool.value()));
        char separator = '=';
        for (const base::SoftwareVersion &software : versions) {
            text.push_back(std::exchange(separator, ','));
            text.append(escapeName(software.value()));
        }
    }
    return text;
}

void SoftwareRecord::add(const base::PoolName &pool, const base::SoftwareVersion &software)
{
    if (pool.isEmpty() || pool.value().size() > MaxNameBytes || software.value().size() > MaxNameBytes) {
        return;
    }
    const auto it = pools.find(pool);
    if (it == pools.end() ? pools.size() < MaxPools : it->second.size() < MaxVersions) {
        pools[pool].insert(software);
    }
}

std::string SoftwareRecord::encode() const
{
    std::string text = completeEra ? "complete " + std::to_string(*completeEra) : "incomplete";
    if (!pools.empty()) {
        text.append(" ").append(encodePools(pools));
    }
    return text;
}

SoftwareRecord SoftwareRecord::decode(std::string_view text)
{
    SoftwareRecord record;
    bool isValid = true;
    if (takeWord(text, ' ') == "complete") {
        const std::string_view word = takeWord(text, ' ');
        std::uint64_t era = 0;
        const auto [last, ec] = std::from_chars(word.data(), word.data() + word.size(), era);
        isValid = ec == std::errc{} && last == word.data() + word.size();
        record.completeEra = era;
    }
    while (!text.empty()) {
        isValid = decodePool(takeWord(text, ' '), record) && isValid;
    }
    if (!isValid) {
        record.completeEra.reset();
    }
    return record;
}

base::Duration maxStreamTime(const proxy::RouteTable &table)
{
    base::Duration longest{};
    for (const proxy::Route &route : table.routes) {
        if (isStreamRoute(route)) {
            longest = std::max(longest, std::min(route.timeout, MaxStreamTime));
        }
    }
    return std::clamp<base::Duration>(longest * TriesOfStream, MinStreamTime, MaxStreamTime);
}

SoftwareByPool listedSoftware(const proxy::RouteTable &table, const std::map<base::UpstreamId, proxy::Upstream> &upstreams)
{
    std::set<base::PoolName> pools;
    for (const proxy::Route &route : table.routes) {
        for (const proxy::PoolShare &share : route.pools) {
            if (isStreamRoute(route)) {
                pools.insert(share.pool);
            }
        }
    }
    SoftwareRecord listed; // its bounds apply
    for (const auto &[id, upstream] : upstreams) {
        if (pools.contains(upstream.pool)) {
            listed.add(upstream.pool, upstream.software);
        }
    }
    return listed.pools;
}

SoftwareVersions::SoftwareVersions(std::uint64_t seed)
    : m_random(seed)
{
}

void SoftwareVersions::take(SoftwareRecord record, std::uint64_t version)
{
    // In one era a version disappears only by removal; a store that came back from a copy has forgotten it.
    if (m_stored && eraOf(version) == eraOf(m_version)) {
        for (const auto &[pool, versions] : m_stored->pools) {
            for (const base::SoftwareVersion &software : versions) {
                if (!contains(record.pools, pool, software)) {
                    erase(m_admitted, pool, software);
                }
            }
        }
    }
    for (const auto &[pool, versions] : record.pools) {
        m_admitted[pool].insert(versions.begin(), versions.end());
    }
    m_stored = std::move(record);
    m_version = version;
    m_isKnown = true;
    m_wasSeen = true;
}

void SoftwareVersions::onObject(const StoredObject &object)
{
    if (!object.isRemoved && object.revision > m_version) {
        take(SoftwareRecord::decode(object.text), object.revision);
    }
}

void SoftwareVersions::onObjectGone()
{
    m_isKnown = false;
}

void SoftwareVersions::onRead(base::TimePoint now, const base::Result<StoredObject> &result)
{
    m_isCallPending = false;
    if (result) {
        onObject(result.value());
        m_isKnown = result.value().revision >= m_version;
    } else if (result.error().kind == base::ErrorKind::NotFound) {
        m_stored.reset();
        m_version = 0;
        m_isKnown = true;
    } else {
        m_nextCall = now + RetryPause;
    }
}

void SoftwareVersions::onWritten(base::TimePoint now, const base::Result<std::uint64_t> &result)
{
    m_isCallPending = false;
    m_writeAt.reset();
    if (result) {
        if (result.value() > m_version) {
            take(std::move(m_sent), result.value());
        }
        return;
    }
    m_isKnown = false; // another router wrote, or the write may have taken effect
    m_nextCall = now + RetryPause;
}

// Keeps since when this router, as the lease holder, has seen no upstream of each version.
void SoftwareVersions::observe(base::TimePoint now, const SoftwareInput &input)
{
    if (input.era != m_era) {
        m_isKnown = m_isKnown && eraOf(m_version) == input.era && m_version != 0;
    }
    const bool isSameEra = std::exchange(m_era, input.era) == input.era;
    if (!isSameEra || !input.isLeaseHolder || !input.isCurrent) {
        m_observedSince.reset();
        m_absentSince.clear();
    }
    if (!input.isLeaseHolder || !input.isCurrent) {
        return;
    }
    m_observedSince = m_observedSince.value_or(now);
    if (!m_stored) {
        return;
    }
    std::erase_if(m_absentSince, [this, &input](const auto &it) {
        return contains(input.listed, it.first.pool, it.first.software) || !contains(m_stored->pools, it.first.pool, it.first.software);
    });
    for (const auto &[pool, versions] : m_stored->pools) {
        for (const base::SoftwareVersion &software : versions) {
            if (!contains(input.listed, pool, software)) {
                m_absentSince.emplace(Key{pool, software}, now);
            }
        }
    }
}

SoftwareRecord SoftwareVersions::withMissing(const SoftwareInput &input) const
{
    SoftwareRecord record = m_stored.value_or(SoftwareRecord{});
    if (!m_stored && !m_wasSeen && input.era == 0) {
        record.completeEra = 0; // no router has sent a stream yet
    }
    for (const SoftwareByPool *pools : {&m_admitted, &input.listed}) {
        for (const auto &[pool, versions] : *pools) {
            for (const base::SoftwareVersion &software : versions) {
                record.add(pool, software);
            }
        }
    }
    return record;
}

void SoftwareVersions::removeAbsent(base::TimePoint now, const SoftwareInput &input, SoftwareRecord &record) const
{
    if (!m_observedSince || now - *m_observedSince < input.maxStreamTime) {
        return;
    }
    record.completeEra = input.era;
    for (const auto &[key, since] : m_absentSince) {
        if (now - since >= input.maxStreamTime) {
            erase(record.pools, key.pool, key.software);
        }
    }
}

SoftwareAction SoftwareVersions::poll(base::TimePoint now, const SoftwareInput &input)
{
    observe(now, input);
    m_listed = input.listed;
    if (m_isCallPending || now < m_nextCall || (input.listed.empty() && !m_wasSeen)) {
        return {};
    }
    if (!m_isKnown) {
        m_isCallPending = true;
        return {SoftwareCall::Read, {}, 0};
    }
    SoftwareRecord record = withMissing(input);
    if (input.isLeaseHolder) {
        removeAbsent(now, input, record);
    }
    if (m_stored && record == *m_stored) {
        m_writeAt.reset();
        return {};
    }
    if (!input.isLeaseHolder) {
        if (!m_writeAt) {
            const base::Duration spread = std::max<base::Duration>(MinPauseSpread, base::fromSeconds(static_cast<double>(input.routers) / WritersPerSecond));
            m_writeAt = now + MinPause + base::fromSeconds(base::toSeconds(spread) * m_random.uniformReal());
        }
        if (now < *m_writeAt) {
            return {};
        }
    }
    m_sent = record;
    m_isCallPending = true;
    return {SoftwareCall::Write, record.encode(), m_version};
}

const SoftwareByPool &SoftwareVersions::admitted() const
{
    return m_admitted;
}

bool SoftwareVersions::needsRecords() const
{
    if (!m_stored || m_stored->completeEra != m_era) {
        return !m_listed.empty();
    }
    SoftwareRecord all{std::nullopt, m_admitted};
    for (const auto &[pool, versions] : m_listed) {
        for (const base::SoftwareVersion &software : versions) {
            all.add(pool, software);
        }
    }
    return std::any_of(all.pools.begin(), all.pools.end(), [](const auto &it) {
        return it.second.size() > 1;
    });
}

} // namespace carawaylatch::gateway
