// Converts envelopes: one protobuf message for each alternative of PeerMessage.
//
// A message of an unknown kind comes from a newer release with the same protocol
// version and decodes to InvalidArgument. Dropping it is safe, since senders that need
// a response repeat the request or use another way.
#include "carawaylatch/peer/codec.h"

#include <array>

#include "carawaylatch/config/head.h"
#include "carawaylatch/peer/wirevalues.h"

namespace carawaylatch::peer
{

using base::ErrorKind;
using base::Result;

namespace
{

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> KindNames{
    "probe", "probe_ack",     "indirect_probe", "table_request", "table_page",     "config_update",    "config_request",
    "marks", "marks_request", "demand_report",  "share_table",   "hot_placements", "snapshot_request", "snapshot_part",
};

// Fills the envelope's body for one alternative of PeerMessage.
class BodyWriter
{
public:
    explicit BodyWriter(wire::Envelope &out)
        : m_envelope(out)
    {
    }

    void operator()(const membership::Probe &value)
    {
        m_envelope.mutable_probe()->set_number(value.number);
        toWire(value.gossip, *m_envelope.mutable_probe()->mutable_gossip());
    }
    void operator()(const membership::ProbeAck &value)
    {
        m_envelope.mutable_probe_ack()->set_number(value.number);
        m_envelope.mutable_probe_ack()->set_subject(value.subject.value());
        toWire(value.gossip, *m_envelope.mutable_probe_ack()->mutable_gossip());
    }
    void operator()(const membership::IndirectProbe &value)
    {
        m_envelope.mutable_indirect_probe()->set_number(value.number);
        toWire(value.target, *m_envelope.mutable_indirect_probe()->mutable_target());
        toWire(value.gossip, *m_envelope.mutable_indirect_probe()->mutable_gossip());
    }
    void operator()(const membership::TableRequest &value)
    {
        m_envelope.mutable_table_request()->set_cursor(value.cursor.value());
        toWire(value.gossip, *m_envelope.mutable_table_request()->mutable_gossip());
    }
    void operator()(const membership::TablePage &value)
    {
        auto *page = m_envelope.mutable_table_page();
        page->set_cursor(value.cursor.value());
        for (const auto &it : value.records) {
            toWire(it, *page->add_records());
        }
        toWire(value.gossip, *page->mutable_gossip());
    }
    void operator()(const config::ConfigUpdate &value)
    {
        auto *update = m_envelope.mutable_config_update();
        if (value.snapshot != nullptr) {
            update->set_whole(config::formatSnapshot(*value.snapshot));
        } else {
            update->set_edits(config::formatEdits(value.edits));
        }
    }
    void operator()(const config::ConfigRequest &value)
    {
        m_envelope.mutable_config_request()->set_after(value.after.value);
    }
    void operator()(const MarksMessage &value)
    {
        m_envelope.mutable_marks();
        for (const auto &it : value.marks) {
            toWire(it, *m_envelope.mutable_marks()->add_marks());
        }
    }
    void operator()(const MarksRequest &)
    {
        m_envelope.mutable_marks_request();
    }
    void operator()(const admission::DemandReport &value)
    {
        toWire(value, *m_envelope.mutable_demand_report());
    }
    void operator()(const admission::ShareTable &value)
    {
        toWire(value, *m_envelope.mutable_share_table());
    }
    void operator()(const prefix::HotPlacements &value)
    {
        toWire(value, *m_envelope.mutable_hot_placements());
    }
    void operator()(const handover::SnapshotRequest &value)
    {
        m_envelope.mutable_snapshot_request()->set_request(value.request);
        m_envelope.mutable_snapshot_request()->set_part(value.part);
    }
    void operator()(const handover::SnapshotPart &value)
    {
        auto *part = m_envelope.mutable_snapshot_part();
        part->set_request(value.request);
        part->set_part(value.part);
        part->set_parts(value.parts);
        part->set_digest(value.digest);
        part->set_bytes(value.bytes);
    }

private:
    wire::Envelope &m_envelope;
};

Result<config::ConfigUpdate> configUpdateFromWire(const wire::ConfigUpdate &in)
{
    config::ConfigUpdate update;
    if (!in.whole().empty()) {
        BOOST_OUTCOME_TRY(rows, config::parseSnapshot(in.whole()));
        update.snapshot = std::make_shared<const config::RowSet>(std::move(rows));
    } else {
        BOOST_OUTCOME_TRY(edits, config::parseEdits(in.edits()));
        update.edits = std::move(edits);
    }
    return update;
}

Result<PeerMessage> membershipMessageFromWire(const wire::Envelope &in)
{
    switch (in.body_case()) {
    case wire::Envelope::kProbe: {
        BOOST_OUTCOME_TRY(gossip, fromWire(in.probe().gossip()));
        return PeerMessage(membership::Probe{in.probe().number(), std::move(gossip)});
    }
    case wire::Envelope::kProbeAck: {
        BOOST_OUTCOME_TRY(gossip, fromWire(in.probe_ack().gossip()));
        BOOST_OUTCOME_TRY(subject, nameFromWire<base::RouterId>(in.probe_ack().subject()));
        return PeerMessage(membership::ProbeAck{in.probe_ack().number(), subject, std::move(gossip)});
    }
    case wire::Envelope::kIndirectProbe: {
        BOOST_OUTCOME_TRY(gossip, fromWire(in.indirect_probe().gossip()));
        BOOST_OUTCOME_TRY(target, fromWire(in.indirect_probe().target()));
        return PeerMessage(membership::IndirectProbe{in.indirect_probe().number(), std::move(target), std::move(gossip)});
    }
    case wire::Envelope::kTableRequest: {
        BOOST_OUTCOME_TRY(gossip, fromWire(in.table_request().gossip()));
        BOOST_OUTCOME_TRY(cursor, nameFromWire<base::RouterId>(in.table_request().cursor()));
        return PeerMessage(membership::TableRequest{cursor, std::move(gossip)});
    }
    default: {
        BOOST_OUTCOME_TRY(gossip, fromWire(in.table_page().gossip()));
        BOOST_OUTCOME_TRY(records, listFromWire<membership::MemberRecord>(in.table_page().records()));
        BOOST_OUTCOME_TRY(cursor, nameFromWire<base::RouterId>(in.table_page().cursor()));
        return PeerMessage(membership::TablePage{std::move(records), cursor, std::move(gossip)});
    }
    }
}

Result<PeerMessage> messageFromWire(const wire::Envelope &in)
{
    switch (in.body_case()) {
    case wire::Envelope::kProbe:
    case wire::Envelope::kProbeAck:
    case wire::Envelope::kIndirectProbe:
    case wire::Envelope::kTableRequest:
    case wire::Envelope::kTablePage:
        return membershipMessageFromWire(in);
    case wire::Envelope::kConfigUpdate: {
        BOOST_OUTCOME_TRY(update, configUpdateFromWire(in.config_update()));
        return PeerMessage(std::move(update));
    }
    case wire::Envelope::kConfigRequest:
        return PeerMessage(config::ConfigRequest{{in.config_request().after()}});
    case wire::Envelope::kMarks: {
        BOOST_OUTCOME_TRY(marks, listFromWire<upstreams::LeavingMark>(in.marks().marks()));
        return PeerMessage(MarksMessage{std::move(marks)});
    }
    case wire::Envelope::kMarksRequest:
        return PeerMessage(MarksRequest{});
    case wire::Envelope::kDemandReport: {
        BOOST_OUTCOME_TRY(report, fromWire(in.demand_report()));
        return PeerMessage(std::move(report));
    }
    case wire::Envelope::kShareTable: {
        BOOST_OUTCOME_TRY(table, fromWire(in.share_table()));
        return PeerMessage(std::move(table));
    }
    case wire::Envelope::kHotPlacements: {
        BOOST_OUTCOME_TRY(placements, fromWire(in.hot_placements()));
        return PeerMessage(std::move(placements));
    }
    case wire::Envelope::kSnapshotRequest:
        return PeerMessage(handover::SnapshotRequest{in.snapshot_request().request(), in.snapshot_request().part()});
    case wire::Envelope::kSnapshotPart: {
        const auto &part = in.snapshot_part();
        return PeerMessage(handover::SnapshotPart{part.request(), part.part(), part.parts(), part.digest(), part.bytes()});
    }
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return base::fail(ErrorKind::InvalidArgument, "unknown kind of peer message; the sender runs a newer version");
}

} // namespace

std::string_view messageKindName(const PeerMessage &message)
{
    return KindNames.at(message.index());
}

std::string encodeEnvelope(const PeerEnvelope &envelope)
{
    wire::Envelope out;
    out.set_version(ProtocolVersion);
    out.set_sender(envelope.sender.id.value());
    out.set_incarnation(envelope.sender.incarnation.value);
    out.set_sequence(envelope.sequence);
    std::visit(BodyWriter(out), envelope.message);
    return out.SerializeAsString();
}

Result<PeerEnvelope> decodeEnvelope(std::string_view bytes)
{
    wire::Envelope in;
    if (bytes.size() > MaxMessageBytes || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::fail(ErrorKind::InvalidArgument, "cannot parse a peer message; check for a router of another version");
    }
    if (in.version() != ProtocolVersion) {
        return base::fail(ErrorKind::StaleState, "a peer uses protocol version " + std::to_string(in.version()) + ", this router uses "
                                                     + std::to_string(ProtocolVersion) + "; bring all routers to one release");
    }
    BOOST_OUTCOME_TRY(sender, nameFromWire<base::RouterId>(in.sender()));
    BOOST_OUTCOME_TRY(message, messageFromWire(in));
    return PeerEnvelope{{sender, {in.incarnation()}}, in.sequence(), std::move(message)};
}

std::string encodeSnapshot(const handover::Snapshot &snapshot)
{
    wire::Snapshot out;
    toWire(snapshot, out);
    return out.SerializeAsString();
}

Result<handover::Snapshot> decodeSnapshot(std::string_view bytes)
{
    wire::Snapshot in;
    if (bytes.size() > handover::MaxSnapshotBytes || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::fail(ErrorKind::InvalidArgument, "cannot parse the warm start snapshot; the router starts without it");
    }
    return fromWire(in);
}

} // namespace carawaylatch::peer
