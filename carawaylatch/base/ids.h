// Strongly typed identifiers, so that the compiler rejects a customer passed as a pool.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace carawaylatch::base
{

// A string identifier. Tag makes each kind a distinct type.
template <typename Tag>
class TypedName
{
public:
    TypedName() = default;
    explicit TypedName(std::string_view value)
        : m_value(value)
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool isEmpty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const TypedName &) const = default;
    bool operator==(const TypedName &) const = default;

private:
    std::string m_value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const TypedName<Tag> &name)
{
    return out << name.value();
}

using CustomerId = TypedName<struct CustomerTag>;
using FailureDomain = TypedName<struct FailureDomainTag>;
using ModelId = TypedName<struct ModelTag>;
using PoolName = TypedName<struct PoolTag>;
using RouteName = TypedName<struct RouteTag>;
using RouterId = TypedName<struct RouterTag>;
using SoftwareVersion = TypedName<struct SoftwareTag>; // of an upstream's program, not of weights; empty: not named, a version like any other
using UpstreamId = TypedName<struct UpstreamTag>;

// A numeric identifier. Tag makes each kind a distinct type; zero means "not set".
template <typename Tag>
struct TypedNumber
{
    std::uint64_t value = 0;

    auto operator<=>(const TypedNumber &) const = default;
    bool operator==(const TypedNumber &) const = default;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, TypedNumber<Tag> number)
{
    return out << number.value;
}

// Identifies one run of a process: changes at every start and is never reused.
using Incarnation = TypedNumber<struct IncarnationTag>;
// Revision of the configuration; each accepted edit increments it by one.
using Revision = TypedNumber<struct RevisionTag>;
// Version of a model's weights.
using WeightsVersion = TypedNumber<struct WeightsTag>;
// One attempt of a request at one upstream; unique across all routers.
using AttemptId = TypedNumber<struct AttemptTag>;
// Salt of a cache namespace; sent to the engines.
using CacheSalt = TypedNumber<struct CacheSaltTag>;
// Fencing token of a lease holder; a receiver rejects tokens lower than the highest seen.
using FencingToken = TypedNumber<struct FencingTag>;

enum class TrafficClass {
    Interactive,
    Batch,
};

// IP address and TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    bool operator==(const Endpoint &) const = default;
};

} // namespace carawaylatch::base

template <typename Tag>
struct std::hash<carawaylatch::base::TypedName<Tag>>
{
    std::size_t operator()(const carawaylatch::base::TypedName<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};

template <typename Tag>
struct std::hash<carawaylatch::base::TypedNumber<Tag>>
{
    std::size_t operator()(carawaylatch::base::TypedNumber<Tag> number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
