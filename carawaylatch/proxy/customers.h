// The customers of one configuration: their API keys, and who may use whose KV cache.
//
// A cache scope is a number that goes into the name under which engines and cache stores keep KV
// cache, and into the keys by which routers remember where it is. Requests of different scopes
// share nothing. There are three kinds:
//
//     shared   the customers that aren't isolated; made of the names of all of them
//     own      one customer
//     public   requests of no customer
//
// The names tell who can have made state in a shared scope: only customers that the configuration
// in force lists as not isolated. A customer that becomes isolated, or is removed, changes the scope of
// the others too, since state that it made lies in the former one. The scope depends on the configuration
// alone, so that all routers that have it agree, also after a restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "carawaylatch/admission/customerlimit.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::proxy
{

struct Customer
{
    base::CustomerId id;
    std::optional<std::uint32_t> priority; // ranks above the route's priority
    bool isIsolated = false; // shares no KV cache with other customers
    std::optional<admission::CustomerLimit> limit{}; // over all routers; nothing: none
};

class Customers
{
public:
    // A key that an earlier customer has stays that customer's.
    void add(Customer customer, std::span<const std::string> keys);
    [[nodiscard]] std::size_t size() const;
    // Returns the customer that holds the key, or nullptr.
    [[nodiscard]] const Customer *find(const std::string &key) const;
    // The limits of the customers that have one.
    [[nodiscard]] std::vector<admission::NamedLimit> limits() const;
    // Returns the cache scope of a request that was admitted with this key, maybe under an earlier configuration,
    // as one of `admitted` (nullptr: of no customer). It is shared only if the customer was not isolated then and
    // isn't now.
    [[nodiscard]] std::uint64_t cacheScope(const Customer *admitted, const std::string &key) const;
    // Returns the scope that the customer shares with nobody (nullptr: the public scope).
    [[nodiscard]] static std::uint64_t ownCacheScope(const Customer *customer);

private:
    std::vector<Customer> m_customers;
    std::unordered_map<std::string, std::size_t> m_keys; // to index in m_customers
    std::uint64_t m_sharingNames = 0; // sum of the hashes of the names of customers that aren't isolated; independent of their order
};

} // namespace carawaylatch::proxy
