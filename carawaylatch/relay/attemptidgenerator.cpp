// mix() is the finalizer of splitmix64 (Steele, Lea and Flood, 2014), a bijection
// of 64-bit numbers: different counters of one router give different ids.
#include "carawaylatch/relay/attemptidgenerator.h"

#include "carawaylatch/base/hash.h"

namespace carawaylatch::relay
{

namespace
{

std::uint64_t mix(std::uint64_t n)
{
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
}

} // namespace

AttemptIdGenerator::AttemptIdGenerator(const base::RouterId &router, base::Incarnation incarnation)
    : m_base(base::combineHashes(base::hash64(router.value()), incarnation.value))
{
}

base::AttemptId AttemptIdGenerator::next()
{
    base::AttemptId id;
    while (id.value == 0) {
        id.value = mix(m_counter.fetch_add(1, std::memory_order_relaxed)) ^ m_base;
    }
    return id;
}

} // namespace carawaylatch::relay
