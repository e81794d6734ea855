// Each list of the report has its own function.
#include "carawaylatch/router/statusbuilder.h"

#include <algorithm>

#include "carawaylatch/router/telemetrystate.h"
#include "carawaylatch/telemetry/processusage.h"

namespace carawaylatch::router
{

namespace
{

telemetry::PeerState toPeerState(membership::MemberState state)
{
    switch (state) {
    case membership::MemberState::Alive:
        return telemetry::PeerState::Live;
    case membership::MemberState::Suspect:
        return telemetry::PeerState::Suspected;
    case membership::MemberState::Leaving:
        return telemetry::PeerState::Leaving;
    case membership::MemberState::Dead:
        break;
    }
    return telemetry::PeerState::Gone;
}

void addPeers(telemetry::StatusReport &report, const ControlSnapshot &snapshot)
{
    if (!snapshot.members) {
        return;
    }
    for (const auto &it : snapshot.members->members) {
        if (it.record.id != snapshot.members->self) {
            report.peers.push_back({it.record.id, it.record.domain, it.record.incarnation, toPeerState(it.record.state), it.revision});
        }
    }
}

telemetry::UpstreamStatus upstreamRow(const upstreams::UpstreamStatus &status, const base::PoolName &pool, const RoutingState &routingState,
                                      base::TimePoint now)
{
    telemetry::UpstreamStatus row;
    row.id = status.id;
    row.pool = pool;
    row.domain = status.domain;
    row.endpoint = status.endpoint;
    row.state = toTelemetryState(status.state);
    row.incarnation = status.incarnation;
    row.weightsVersion = status.load.weightsVersion;
    row.running = status.load.running;
    row.waiting = status.load.waiting;
    row.queuedTokens = status.load.queuedTokens;
    row.usedBlocks = status.load.usedBlocks;
    row.capacityBlocks = status.load.capacityBlocks;
    row.inFlight = routingState.inflight.counts(status.slot, now, now).requests;
    row.confidence = routingState.caches.confidence(status.slot);
    row.reportAge = status.incarnation.value == 0 ? base::Duration{} : now - status.loadAt;
    return row;
}

void addPools(telemetry::StatusReport &report, const ControlSnapshot &snapshot, const RoutingState &routingState, base::TimePoint now)
{
    for (const auto &pool : snapshot.tables->pools) {
        telemetry::PoolStatus row;
        row.name = pool.name;
        row.kind = pool.kind;
        row.model = pool.model;
        row.weightsVersion = pool.weightsVersion;
        row.members = static_cast<std::uint32_t>(pool.members.size());
        if (const auto *view = snapshot.upstreams->pool(pool.name)) {
            row.serving = static_cast<std::uint32_t>(view->eligible.size());
        }
        report.pools.push_back(row);
        for (const auto &it : pool.members) {
            if (const auto *status = snapshot.upstreams->find(it.id)) {
                report.upstreams.push_back(upstreamRow(*status, pool.name, routingState, now));
            }
        }
    }
}

void addRoutes(telemetry::StatusReport &report, const config::Tables &tables)
{
    for (const auto &it : tables.routes) {
        report.routes.push_back({it.name, it.path, it.model, it.pool, it.idempotency});
    }
}

const CustomerRate *findRate(std::span<const CustomerRate> rates, const base::CustomerId &customer)
{
    const auto it = std::find_if(rates.begin(), rates.end(), [&](const CustomerRate &rate) {
        return rate.customer == customer;
    });
    return it == rates.end() ? nullptr : &*it;
}

void addCustomers(telemetry::StatusReport &report, const config::Tables &tables, const admission::AdmissionController &admissionController,
                  std::span<const CustomerRate> rates, base::TimePoint now)
{
    const auto stats = admissionController.stats();
    for (const auto &customer : tables.customers) {
        telemetry::CustomerStatus row;
        row.id = customer.id;
        row.running = admissionController.inFlight(customer.id);
        if (const auto *rate = findRate(rates, customer.id)) {
            row.requestsPerSecond = rate->perSecond;
        }
        for (const auto &it : stats) {
            row.waiting += it.customer == customer.id ? it.waiting : 0;
        }
        if (customer.concurrency > 0) {
            row.concurrencyShare = admissionController.share(customer.id, admission::Resource::Concurrency, now);
        }
        if (customer.requestsPerSecond > 0) {
            row.rateShare = static_cast<double>(admissionController.share(customer.id, admission::Resource::Rate, now)) / admission::RateUnitsPerRequest;
        }
        report.customers.push_back(row);
    }
}

} // namespace

std::vector<CustomerRate> customerRates(const admission::AdmissionController &admissionController, std::span<const CustomerRate> earlier,
                                        base::Duration interval)
{
    std::vector<CustomerRate> rates;
    for (const auto &it : admissionController.stats()) {
        if (rates.empty() || rates.back().customer != it.customer) {
            rates.push_back({it.customer, 0, 0});
        }
        rates.back().admitted += it.admitted;
    }
    for (auto &it : rates) {
        const auto *previous = findRate(earlier, it.customer);
        const std::uint64_t admittedSince = it.admitted - (previous == nullptr ? 0 : previous->admitted);
        it.perSecond = interval > base::Duration{} ? static_cast<double>(admittedSince) / base::toSeconds(interval) : 0;
    }
    return rates;
}

telemetry::StatusReport buildStatus(const StatusSources &sources, base::TimePoint now)
{
    const auto snapshot = sources.published.load();
    telemetry::StatusReport report;
    report.router = sources.self;
    report.router.readiness = snapshot->serving == ServingState::Ready ? telemetry::Readiness::Ready : telemetry::Readiness::NotReady;
    report.router.reason = snapshot->notReadyMessage;
    addPeers(report, *snapshot);
    if (snapshot->tables) {
        report.router.revision = snapshot->tables->revision;
        addPools(report, *snapshot, sources.routingState, now);
        addRoutes(report, *snapshot->tables);
        addCustomers(report, *snapshot->tables, sources.admissionController, sources.rates, now);
    }
    report.totals = sources.metrics.totals();
    report.controlCoreShare = sources.controlCoreShare;
    report.residentBytes = telemetry::readProcessUsage().residentBytes;
    return report;
}

} // namespace carawaylatch::router
