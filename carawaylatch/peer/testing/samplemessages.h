// Sample messages of each kind with values from a seeded random generator.
#pragma once

#include <memory>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/peer/message.h"

namespace carawaylatch::peer::testing
{

class SampleMessages
{
public:
    explicit SampleMessages(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Returns a message for each alternative of PeerMessage, in its order.
    std::vector<PeerMessage> all()
    {
        std::vector<membership::MemberRecord> records;
        for (auto n = m_random.below(20); n > 0; --n) {
            records.push_back(record());
        }
        return {membership::Probe{m_random.next(), gossip()},
                membership::ProbeAck{m_random.next(), base::RouterId("subject"), gossip()},
                membership::IndirectProbe{m_random.next(), record(), gossip()},
                membership::TableRequest{base::RouterId("cursor"), gossip()},
                membership::TablePage{records, base::RouterId("cursor"), gossip()},
                config::ConfigUpdate{edits(), nullptr},
                config::ConfigRequest{{m_random.next()}},
                MarksMessage{{{base::UpstreamId("e1"), {m_random.next()}, 3}}},
                MarksRequest{},
                admission::DemandReport{base::RouterId("a"), {m_random.next()}, 4, {5}, 6, {{base::CustomerId("c"), admission::Resource::Rate, 7, 8}}},
                admission::ShareTable{base::RouterId("a"), {1}, 2, base::RouterId("b"), {3}, 4, {{base::CustomerId("c"), admission::Resource::Rate, 9}}},
                prefix::HotPlacements{{{base::UpstreamId("e1"), {m_random.next()}, 400, {{m_random.next(), 5}, {m_random.next(), 6}}}}},
                handover::SnapshotRequest{m_random.next(), 3},
                handover::SnapshotPart{m_random.next(), 1, 2, m_random.next(), std::string(m_random.below(1'000), '\xff')}};
    }

private:
    membership::MemberRecord record()
    {
        const auto state = static_cast<membership::MemberState>(m_random.below(4));
        return {base::RouterId("r" + std::to_string(m_random.below(9))),
                base::FailureDomain("dakar-a"),
                {"10.0.0.1", 7000},
                {m_random.next()},
                m_random.next(),
                7,
                state};
    }
    membership::Gossip gossip()
    {
        return {record(), {m_random.next()}, {m_random.next(), 5}, {record(), record()}};
    }
    std::vector<config::Edit> edits()
    {
        config::Row row{{"pool", "p"}, {}, {{"model", "m", 0}, {"colour", "green", 0}}, 0};
        config::Edit first{{m_random.next()}, "alice", 5, {41}, {{config::RowChange::Kind::Put, row, base::Revision{40}}}};
        config::Edit second{{m_random.next()}, "bob", 6, {42}, {{config::RowChange::Kind::Remove, {{"pool", "q"}, {}, {}, 0}, {}}}};
        return {first, second};
    }

    base::Random m_random;
};

} // namespace carawaylatch::peer::testing
