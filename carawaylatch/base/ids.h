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
class Name
{
public:
    Name() = default;
    explicit Name(std::string_view value)
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

    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;

private:
    std::string m_value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const Name<Tag> &name)
{
    return out << name.value();
}

using CustomerId = Name<struct CustomerTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using ModelId = Name<struct ModelTag>;
using PoolName = Name<struct PoolTag>;
using RouteName = Name<struct RouteTag>;
using RouterId = Name<struct RouterTag>;
using UpstreamId = Name<struct UpstreamTag>;

// A number of one kind; zero means "none yet" in every kind.
template <typename Tag>
struct Number
{
    std::uint64_t value = 0;

    auto operator<=>(const Number &) const = default;
    bool operator==(const Number &) const = default;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, Number<Tag> number)
{
    return out << number.value;
}

// One life of a process: changes at every start, never repeats.
using Incarnation = Number<struct IncarnationTag>;
// Order of accepted configurations; grows by one with every accepted edit.
using Revision = Number<struct RevisionTag>;
// Version of a model's weights.
using WeightsVersion = Number<struct WeightsTag>;
// One try of one request at one upstream; unique over all routers.
using AttemptId = Number<struct AttemptTag>;
// Seed of a cache namespace, sent to engines as the cache salt.
using CacheSalt = Number<struct CacheSaltTag>;
// Fencing number of a lease holder.
using FenceToken = Number<struct FenceTag>;

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
struct std::hash<carawaylatch::base::Name<Tag>>
{
    std::size_t operator()(const carawaylatch::base::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};

template <typename Tag>
struct std::hash<carawaylatch::base::Number<Tag>>
{
    std::size_t operator()(carawaylatch::base::Number<Tag> number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
