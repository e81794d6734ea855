// What upstreams say of themselves and what their crashes show: reports to and from other
// routers, verdicts and their effects, for trafficplane.h.
#include "carawaylatch/proxy/promptparts.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

FaultReport TrafficPlane::takeFaultChanges()
{
    FaultReport report = m_crashes.takeChanges(now());
    report.leaving = m_tracker.takeLeaving();
    report.limits = m_tracker.limits().takeChanges();
    report.brittle = m_tracker.brittle().takeChanges();
    return report;
}

FaultReport TrafficPlane::fullFaultReport() const
{
    FaultReport report = m_crashes.fullReport(now());
    report.leaving = m_tracker.leaving();
    report.limits = m_tracker.limits().all();
    report.brittle = m_tracker.brittle().all();
    return report;
}

void TrafficPlane::onFaultReport(const FaultReport &report)
{
    m_crashes.apply(report, now());
    applyVerdicts();
    for (const UpstreamRecord *record : m_tracker.applyLeaving(report.leaving, now())) {
        onLeavingKnown(*record, "router");
    }
    for (const UpstreamRecord *record : m_tracker.applyLimits(report.limits, now())) {
        logLimit(*record, "router");
    }
    m_tracker.applyBrittle(report.brittle, now());
    logBrittleEvents();
}

void TrafficPlane::onUpstreamLoad(UpstreamRecord &record, const UpstreamResponse &response)
{
    if (response.load) {
        m_tracker.onLoadSample(record, *response.load, now());
    } else if (response.isLoadUnreadable && m_unreadableLoads.mayLog(record.idHash, now())) {
        m_log.write(base::LogEvent::UnreadableLoad, {{"upstream", record.upstream.id.value()}});
    }
}

void TrafficPlane::onUpstreamLeaving(UpstreamRecord &record)
{
    if (m_tracker.onLeaving(record, now())) {
        onLeavingKnown(record, "answer");
    }
}

void TrafficPlane::onLeavingKnown(const UpstreamRecord &record, std::string_view source)
{
    m_log.write(base::LogEvent::UpstreamLeavingNotice, {{"upstream", record.upstream.id.value()}, {"source", std::string(source)}});
    m_observer.onUpstreamLeaving(record.upstream.id, record.upstream.startTimeMs);
}

// Pauses that were asked for at the same time end spread over a tenth of their length.
void TrafficPlane::onUpstreamPause(UpstreamRecord &record, base::Duration pause)
{
    constexpr double SpreadShare = 0.1;
    const bool isPaused = now() < record.pausedUntil;
    m_tracker.onPause(record, pause, base::fromSeconds(base::toSeconds(pause) * SpreadShare * m_random.uniformReal()), now());
    if (!isPaused) {
        ++m_counts.pauses;
        m_log.write(base::LogEvent::UpstreamPaused, {{"upstream", record.upstream.id.value()}, {"seconds", base::formatSeconds(record.pausedUntil - now())}});
    }
}

void TrafficPlane::onUpstreamLimit(const UpstreamRecord &record, std::optional<double> perSecond, base::TimePoint sentAt)
{
    if (m_tracker.onLimit(record, perSecond, sentAt, now())) {
        logLimit(record, "answer");
    }
}

void TrafficPlane::logLimit(const UpstreamRecord &record, std::string_view source)
{
    m_log.write(base::LogEvent::UpstreamLimitChanged, {{"upstream", record.upstream.id.value()},
                                                       {"per_second", std::to_string(m_tracker.limits().perSecond(record.key()))},
                                                       {"source", std::string(source)}});
}

void TrafficPlane::onUpstreamBrittle(UpstreamRecord &record, std::optional<std::uint32_t> rejections, base::TimePoint sentAt)
{
    m_tracker.onBrittle(record, rejections, sentAt, now());
    logBrittleEvents();
}

void TrafficPlane::onUpstreamFull(const UpstreamRecord &record, const AttemptLoad &load)
{
    ++m_counts.rejections;
    m_counts.risks += load.room == Room::Risk ? 1 : 0;
    m_tracker.onRejected(record, load, now());
}

void TrafficPlane::logBrittleEvents()
{
    for (const BrittleEvent &event : m_tracker.takeBrittleEvents()) {
        const std::string rejected = std::to_string(event.rejected);
        if (!event.rejections) {
            m_log.write(base::LogEvent::UpstreamNotBrittle,
                        {{"upstream", event.upstream.value()}, {"rejected", rejected}, {"source", std::string(event.source)}});
            continue;
        }
        const std::string takes = std::to_string(*event.rejections);
        if (event.isGone) {
            m_log.write(base::LogEvent::BrittleUpstreamGone, {{"upstream", event.upstream.value()}, {"per_second", takes}, {"rejected", rejected}});
        } else {
            m_log.write(base::LogEvent::UpstreamBrittle, {{"upstream", event.upstream.value()}, {"per_second", takes}, {"source", std::string(event.source)}});
        }
    }
}

void TrafficPlane::confirmCrashes()
{
    m_crashes.advance(now(), [this](const BrokenRequest &request, base::TimePoint since) {
        const UpstreamRecord *record = m_tracker.find(request.upstream);
        if (record == nullptr || record->upstream.startTimeMs != request.startTimeMs) {
            return false;
        }
        // Upstreams that only other routers reach have not crashed.
        const bool isCutOff = m_reach.isCut(record->upstream.pool) && m_peerRouters.reaches(record->upstream.pool);
        return isCutOff || record->receivedAt > since;
    });
    applyVerdicts();
}

void TrafficPlane::applyVerdicts()
{
    const auto verdicts = m_crashes.takeVerdicts();
    if (verdicts.empty()) {
        return;
    }
    for (const CrashVerdict &verdict : verdicts) {
        const std::string id = formatPartId(verdict.id);
        const std::string_view field = verdict.isRequest ? "request" : "part";
        if (verdict.isBlocked) {
            m_log.write(verdict.isRequest ? base::LogEvent::RequestBlocked : base::LogEvent::PromptPartBlocked,
                        {{field, id}, {"crashes", std::to_string(verdict.crashes)}, {"seconds", base::formatSeconds(verdict.blockedFor)}});
        } else {
            m_log.write(verdict.isRequest ? base::LogEvent::RequestCleared : base::LogEvent::PromptPartCleared, {{field, id}});
        }
    }
    const std::vector<std::shared_ptr<CallerConnection>> callers(m_callers.begin(), m_callers.end());
    for (const auto &caller : callers) {
        caller->endBlockedRequest();
    }
}

} // namespace carawaylatch::proxy
