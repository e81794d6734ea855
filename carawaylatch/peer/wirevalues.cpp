// Conversions between typed values and protobuf messages, one pair for each type.
#include "carawaylatch/peer/wirevalues.h"

#include <limits>

#include "carawaylatch/config/head.h"

namespace carawaylatch::peer
{

using base::ErrorKind;
using base::Result;

namespace
{

base::Error malformedMessage(const char *what)
{
    return base::fail(ErrorKind::InvalidArgument, std::string("a peer message has ") + what + "; check for a router of another version");
}

Result<admission::Resource> resourceFromWire(std::uint32_t number)
{
    if (number > static_cast<std::uint32_t>(admission::Resource::Rate)) {
        return malformedMessage("an unknown resource");
    }
    return static_cast<admission::Resource>(number);
}

} // namespace

Result<admission::DemandEntry> fromWire(const wire::DemandEntry &in)
{
    BOOST_OUTCOME_TRY(customer, nameFromWire<base::CustomerId>(in.customer()));
    BOOST_OUTCOME_TRY(resource, resourceFromWire(in.resource()));
    return admission::DemandEntry{customer, resource, in.wanted(), in.held()};
}

Result<admission::ShareEntry> fromWire(const wire::ShareEntry &in)
{
    BOOST_OUTCOME_TRY(customer, nameFromWire<base::CustomerId>(in.customer()));
    BOOST_OUTCOME_TRY(resource, resourceFromWire(in.resource()));
    return admission::ShareEntry{customer, resource, in.amount()};
}

Result<prefix::HotUpstream> fromWire(const wire::HotUpstream &in)
{
    if (in.keys_size() != in.ages_ms_size()) {
        return malformedMessage("different numbers of block keys and ages");
    }
    prefix::HotUpstream value;
    BOOST_OUTCOME_TRY(upstream, nameFromWire<base::UpstreamId>(in.upstream()));
    value.upstream = upstream;
    value.incarnation = {in.incarnation()};
    value.lifetimeMilliseconds = in.lifetime_ms();
    for (int i = 0; i < in.keys_size(); ++i) {
        value.blocks.push_back({in.keys(i), in.ages_ms(i)});
    }
    return value;
}

Result<handover::UpstreamIncarnation> fromWire(const wire::UpstreamLife &in)
{
    BOOST_OUTCOME_TRY(upstream, nameFromWire<base::UpstreamId>(in.upstream()));
    return handover::UpstreamIncarnation{upstream, {in.incarnation()}};
}

Result<handover::FencingFloor> fromWire(const wire::FencingFloor &in)
{
    constexpr std::size_t MaxScopeBytes = 200;
    if (in.scope().size() > MaxScopeBytes) {
        return malformedMessage("a lease name over the length limit");
    }
    return handover::FencingFloor{in.scope(), {in.token()}};
}

void toWire(const membership::MemberRecord &value, wire::Member &out)
{
    out.set_id(value.id.value());
    out.set_domain(value.domain.value());
    out.set_address(value.endpoint.address);
    out.set_port(value.endpoint.port);
    out.set_incarnation(value.incarnation.value);
    out.set_life(value.selfVersion);
    out.set_revival(value.revivalCount);
    out.set_state(static_cast<std::uint32_t>(value.state));
}

Result<membership::MemberRecord> fromWire(const wire::Member &in)
{
    constexpr std::size_t MaxAddressBytes = 45;
    if (in.state() > static_cast<std::uint32_t>(membership::MemberState::Dead) || in.port() > std::numeric_limits<std::uint16_t>::max()
        || in.address().size() > MaxAddressBytes || in.id().empty()) {
        return malformedMessage("an invalid member record");
    }
    BOOST_OUTCOME_TRY(id, nameFromWire<base::RouterId>(in.id()));
    BOOST_OUTCOME_TRY(domain, nameFromWire<base::FailureDomain>(in.domain()));
    return membership::MemberRecord{id,        domain,       {in.address(), static_cast<std::uint16_t>(in.port())}, {in.incarnation()},
                                    in.life(), in.revival(), static_cast<membership::MemberState>(in.state())};
}

void toWire(const membership::Gossip &value, wire::Gossip &out)
{
    toWire(value.self, *out.mutable_self());
    out.set_revision(value.revision.value);
    out.set_digest_hash(value.digest.hash);
    out.set_digest_count(value.digest.count);
    for (const auto &it : value.updates) {
        toWire(it, *out.add_updates());
    }
}

Result<membership::Gossip> fromWire(const wire::Gossip &in)
{
    BOOST_OUTCOME_TRY(self, fromWire(in.self()));
    BOOST_OUTCOME_TRY(updates, listFromWire<membership::MemberRecord>(in.updates()));
    return membership::Gossip{std::move(self), {in.revision()}, {in.digest_hash(), in.digest_count()}, std::move(updates)};
}

void toWire(const upstreams::LeavingMark &value, wire::Mark &out)
{
    out.set_upstream(value.upstream.value());
    out.set_incarnation(value.incarnation.value);
    out.set_generation(value.generation);
}

Result<upstreams::LeavingMark> fromWire(const wire::Mark &in)
{
    BOOST_OUTCOME_TRY(upstream, nameFromWire<base::UpstreamId>(in.upstream()));
    return upstreams::LeavingMark{upstream, {in.incarnation()}, in.generation()};
}

void toWire(const admission::DemandReport &value, wire::DemandReport &out)
{
    out.set_from(value.from.value());
    out.set_incarnation(value.incarnation.value);
    out.set_sequence(value.sequence);
    out.set_table_incarnation(value.tableIncarnation.value);
    out.set_table_sequence(value.tableSequence);
    for (const auto &it : value.entries) {
        auto *entry = out.add_entries();
        entry->set_customer(it.customer.value());
        entry->set_resource(static_cast<std::uint32_t>(it.resource));
        entry->set_wanted(it.wanted);
        entry->set_held(it.held);
    }
}

Result<admission::DemandReport> fromWire(const wire::DemandReport &in)
{
    BOOST_OUTCOME_TRY(from, nameFromWire<base::RouterId>(in.from()));
    BOOST_OUTCOME_TRY(entries, listFromWire<admission::DemandEntry>(in.entries()));
    return admission::DemandReport{from, {in.incarnation()}, in.sequence(), {in.table_incarnation()}, in.table_sequence(), std::move(entries)};
}

void toWire(const admission::ShareTable &value, wire::ShareTable &out)
{
    out.set_from(value.from.value());
    out.set_incarnation(value.incarnation.value);
    out.set_sequence(value.sequence);
    out.set_to(value.to.value());
    out.set_to_incarnation(value.toIncarnation.value);
    out.set_report_sequence(value.reportSequence);
    for (const auto &it : value.entries) {
        auto *entry = out.add_entries();
        entry->set_customer(it.customer.value());
        entry->set_resource(static_cast<std::uint32_t>(it.resource));
        entry->set_amount(it.amount);
    }
}

Result<admission::ShareTable> fromWire(const wire::ShareTable &in)
{
    BOOST_OUTCOME_TRY(from, nameFromWire<base::RouterId>(in.from()));
    BOOST_OUTCOME_TRY(to, nameFromWire<base::RouterId>(in.to()));
    BOOST_OUTCOME_TRY(entries, listFromWire<admission::ShareEntry>(in.entries()));
    return admission::ShareTable{from, {in.incarnation()}, in.sequence(), to, {in.to_incarnation()}, in.report_sequence(), std::move(entries)};
}

void toWire(const prefix::HotPlacements &value, wire::HotPlacements &out)
{
    for (const auto &it : value.upstreams) {
        auto *upstream = out.add_upstreams();
        upstream->set_upstream(it.upstream.value());
        upstream->set_incarnation(it.incarnation.value);
        upstream->set_lifetime_ms(it.lifetimeMilliseconds);
        for (const auto &block : it.blocks) {
            upstream->add_keys(block.key);
            upstream->add_ages_ms(block.ageMilliseconds);
        }
    }
}

Result<prefix::HotPlacements> fromWire(const wire::HotPlacements &in)
{
    BOOST_OUTCOME_TRY(upstreams, listFromWire<prefix::HotUpstream>(in.upstreams()));
    return prefix::HotPlacements{std::move(upstreams)};
}

void toWire(const prefix::HotLevels &value, wire::HotLevels &out)
{
    for (const auto &it : value.levels) {
        out.add_keys(it.key);
        out.add_heats(it.heat);
        out.add_spreads(it.spread);
    }
}

Result<prefix::HotLevels> fromWire(const wire::HotLevels &in)
{
    if (in.keys_size() != in.heats_size() || in.keys_size() != in.spreads_size()) {
        return malformedMessage("different numbers of block keys, heats and spreads");
    }
    prefix::HotLevels value;
    for (int i = 0; i < in.keys_size(); ++i) {
        if (!(in.heats(i) >= 0) || in.spreads(i) > std::numeric_limits<std::uint8_t>::max()) {
            return malformedMessage("a heat or spread out of range");
        }
        value.levels.push_back({in.keys(i), in.heats(i), static_cast<std::uint8_t>(in.spreads(i))});
    }
    return value;
}

void toWire(const handover::Snapshot &value, wire::Snapshot &out)
{
    if (value.rows.revision.value != 0) {
        out.set_configuration(config::formatSnapshot(value.rows));
    }
    for (const auto &it : value.members) {
        toWire(it, *out.add_members());
    }
    for (const auto &it : value.incarnations) {
        auto *life = out.add_lives();
        life->set_upstream(it.upstream.value());
        life->set_incarnation(it.incarnation.value);
    }
    for (const auto &it : value.marks) {
        toWire(it, *out.add_marks());
    }
    for (const auto &it : value.floors) {
        auto *floor = out.add_floors();
        floor->set_scope(it.scope);
        floor->set_token(it.token.value);
    }
    toWire(value.placements, *out.mutable_placements());
    toWire(value.levels, *out.mutable_levels());
}

Result<handover::Snapshot> fromWire(const wire::Snapshot &in)
{
    handover::Snapshot value;
    if (!in.configuration().empty()) {
        BOOST_OUTCOME_TRY(rows, config::parseSnapshot(in.configuration()));
        value.rows = std::move(rows);
    }
    BOOST_OUTCOME_TRY(members, listFromWire<membership::MemberRecord>(in.members()));
    BOOST_OUTCOME_TRY(lives, listFromWire<handover::UpstreamIncarnation>(in.lives()));
    BOOST_OUTCOME_TRY(marks, listFromWire<upstreams::LeavingMark>(in.marks()));
    BOOST_OUTCOME_TRY(floors, listFromWire<handover::FencingFloor>(in.floors()));
    BOOST_OUTCOME_TRY(placements, fromWire(in.placements()));
    BOOST_OUTCOME_TRY(levels, fromWire(in.levels()));
    value.members = std::move(members);
    value.incarnations = std::move(lives);
    value.marks = std::move(marks);
    value.floors = std::move(floors);
    value.placements = std::move(placements);
    value.levels = std::move(levels);
    return value;
}

} // namespace carawaylatch::peer
