// Lookup by key, and cache scopes.
#include "carawaylatch/proxy/customers.h"

#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::proxy
{

namespace
{

// Keep the kinds of scopes apart.
constexpr std::uint64_t PublicScope = 0;
constexpr std::uint64_t SharedKind = 1;
constexpr std::uint64_t OwnKind = 2;

} // namespace

void Customers::add(Customer customer, std::span<const std::string> keys)
{
    for (const std::string &key : keys) {
        m_keys.emplace(key, m_customers.size());
    }
    if (!customer.isIsolated) {
        m_sharingNames += base::hash64(customer.id.value());
    }
    m_customers.push_back(std::move(customer));
}

std::size_t Customers::size() const
{
    return m_customers.size();
}

std::vector<admission::NamedLimit> Customers::limits() const
{
    std::vector<admission::NamedLimit> out;
    for (const Customer &it : m_customers) {
        if (it.limit) {
            out.push_back({it.id, *it.limit});
        }
    }
    return out;
}

const Customer *Customers::find(const std::string &key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &m_customers[it->second];
}

std::uint64_t Customers::cacheScope(const Customer *admitted, const std::string &key) const
{
    const Customer *current = find(key);
    const bool isSharing = admitted != nullptr && !admitted->isIsolated && current != nullptr && current->id == admitted->id && !current->isIsolated;
    return isSharing ? base::combineHashes(SharedKind, m_sharingNames) : ownCacheScope(admitted);
}

std::uint64_t Customers::ownCacheScope(const Customer *customer)
{
    return customer == nullptr ? PublicScope : base::combineHashes(OwnKind, base::hash64(customer->id.value()));
}

} // namespace carawaylatch::proxy
