// Identifiers as distinct types, so that a customer is never passed for a pool.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace carawaylatch::base
{

// A name of one kind. Tag only tells the kinds apart.
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
using UpstreamId = TypedName<struct UpstreamTag>;

// A number of one kind; zero means "none yet" in every kind.
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

// One life of a process: changes at every start, never repeats.
using Incarnation = TypedNumber<struct IncarnationTag>;
// Order of accepted configurations; grows by one with every accepted edit.
using Revision = TypedNumber<struct RevisionTag>;
// Version of a model's weights.
using WeightsVersion = TypedNumber<struct WeightsTag>;
// One try of one request at one upstream; unique over all routers.
using AttemptId = TypedNumber<struct AttemptTag>;
// Seed of a cache namespace, sent to engines as the cache salt.
using CacheSalt = TypedNumber<struct CacheSaltTag>;
// Fencing number of a lease holder.
using FencingToken = TypedNumber<struct FencingTag>;

enum class TrafficClass {
    Interactive,
    Batch,
};

// IP number and TCP port of a process.
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
