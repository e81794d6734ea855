// acquire() reads all slots before it writes one: the engine may hold a slot already,
// acquired by a previous lease holder or by a write whose response was lost, and must
// not hold two.
#include "carawaylatch/fleet/loadslots.h"

#include <optional>

namespace carawaylatch::fleet
{

using base::ErrorKind;

namespace
{

std::string slotName(std::uint32_t slot)
{
    return "fleet/slots/" + std::to_string(slot);
}

} // namespace

LoadSlots::LoadSlots(store::ObjectStore &store, base::Duration timeout)
    : m_store(store)
    , m_timeout(timeout)
{
}

bool LoadSlots::hasExpired(base::TimePoint now, const store::Object &slot)
{
    const auto [it, isNew] = m_observations.try_emplace(slot.name, Observation{slot.version, now});
    if (!isNew && it->second.version != slot.version) {
        it->second = Observation{slot.version, now};
    }
    return now - it->second.since >= m_timeout;
}

base::Result<void> LoadSlots::acquire(base::TimePoint now, std::uint32_t slots, const base::UpstreamId &engine)
{
    struct Free
    {
        std::string name;
        store::Version version;
    };
    std::optional<Free> free;
    for (std::uint32_t i = 0; i < slots; ++i) {
        const std::string name = slotName(i);
        const auto object = m_store.read(name);
        if (!object && object.error().kind != ErrorKind::NotFound) {
            return object.error();
        }
        if (object && object.value().value == engine.value()) {
            return base::ok();
        }
        if (!free && (!object || hasExpired(now, object.value()))) {
            free = Free{name, object ? object.value().version : store::Version{}};
        }
    }
    if (!free) {
        return base::fail(ErrorKind::Overloaded, "all slots for loads of weights are in use; wait until a load has finished", base::seconds{1});
    }
    const auto written = m_store.write(free->name, engine.value(), free->version);
    if (!written) {
        return written.error();
    }
    return base::ok();
}

base::Result<void> LoadSlots::release(std::uint32_t slots, const base::UpstreamId &engine)
{
    for (std::uint32_t i = 0; i < slots; ++i) {
        const auto object = m_store.read(slotName(i));
        if (!object && object.error().kind != ErrorKind::NotFound) {
            return object.error();
        }
        if (object && object.value().value == engine.value()) {
            BOOST_OUTCOME_TRYV(m_store.remove(slotName(i), object.value().version));
        }
    }
    return base::ok();
}

std::vector<base::UpstreamId> LoadSlots::holders(std::uint32_t slots)
{
    std::vector<base::UpstreamId> engines;
    for (std::uint32_t i = 0; i < slots; ++i) {
        if (const auto object = m_store.read(slotName(i))) {
            engines.emplace_back(object.value().value);
        }
    }
    return engines;
}

} // namespace carawaylatch::fleet
