#include "gateway/gateway_metrics.hpp"

#include <cstddef>
#include <vector>

#include "core/metrics_text.hpp"

namespace beechpoint::gateway {

namespace {

constexpr double kMillisPerSecond = 1000;

template <class Value>
double figure(Value value) {
    return static_cast<double>(value);
}

void writeState(MetricsText& text, const GatewayFigures& figures) {
    text.gauge("beechpoint_gateway_ready", "1 while clients may be sent here.", figure(figures.ready));
    text.gauge("beechpoint_gateway_draining", "1 after SIGTERM.", figure(figures.draining));
    text.gauge("beechpoint_gateway_position_epoch", "Epoch of the table held.",
               figure(figures.tablePosition.epoch));
    text.gauge("beechpoint_gateway_position_sequence", "Sequence of the table held.",
               figure(figures.tablePosition.sequence));
    text.gauge("beechpoint_gateway_control_silence_seconds", "Since control last answered a poll.",
               figures.sinceControlAnswered / kMillisPerSecond);
    text.gauge("beechpoint_gateway_live_gateways", "Gateways that control last spoke of.",
               figure(figures.liveGateways));
    if (!figures.hostList) return;
    text.gauge("beechpoint_gateway_host_list_hosts", "Hosts of the platform's list.",
               figure(figures.hostList->hosts));
    text.gauge("beechpoint_gateway_host_list_age_seconds", "Since the list was last read or confirmed.",
               figures.hostList->age / kMillisPerSecond);
}

void writeRequests(MetricsText& text, const GatewayFigures& figures) {
    text.gauge("beechpoint_gateway_client_connections", "Open connections of clients.",
               figure(figures.clientConnections));
    text.gauge("beechpoint_gateway_open_requests", "Requests under way.", figure(figures.openRequests));
    text.gauge("beechpoint_gateway_open_attempts", "Attempts at hosts under way.",
               figure(figures.openAttempts));
    text.counter("beechpoint_gateway_requests_total", "Requests that had a route.",
                 figure(figures.routedRequests));
}

void writeMemory(MetricsText& text, const GatewayFigures& figures) {
    text.gauge("beechpoint_gateway_client_memory_bytes", "Bytes that clients' connections and requests hold.",
               figure(figures.clientMemory));
    text.gauge("beechpoint_gateway_client_memory_limit_bytes", "The most of these.",
               figure(figures.clientMemoryLimit));
    text.counters("beechpoint_gateway_overload_total", "What was refused or closed to keep to that limit.",
                  "action", net::overloadFigures(figures.overload));
}

std::vector<LabelledFigure> byReason(const CountsByReason& counts) {
    std::vector<LabelledFigure> figures;
    for (std::size_t reason = 0; reason < counts.size(); ++reason)
        figures.push_back(
            {dispatch::nameOf(static_cast<dispatch::RejectReason>(reason)), figure(counts[reason])});
    return figures;
}

void writeEnds(MetricsText& text, const RequestEndCounts& counts) {
    text.counters("beechpoint_gateway_rejected_total", "Requests answered with 503: they have not run.",
                  "reason", byReason(counts.rejected));
    text.counters("beechpoint_gateway_failed_total", "Requests answered with 502 or 504: they may have run.",
                  "reason", byReason(counts.failed));
    text.counters("beechpoint_gateway_aborted_total", "Answers that had begun and were broken off.", "reason",
                  byReason(counts.aborted));
}

LabelledFigure byOutcome(const AccessCounts& counts, tenants::AuthenticationOutcome outcome) {
    return {tenants::nameOf(outcome), figure(counts.of(outcome))};
}

void writeAccess(MetricsText& text, const GatewayFigures& figures) {
    using Outcome = tenants::AuthenticationOutcome;
    const AccessCounts& counts = figures.accessCounts;
    text.gauge("beechpoint_gateway_configuration_revision",
               "Revision of the configuration in force; 0: none.", figure(figures.revision));
    text.gauge("beechpoint_gateway_configuration_unreadable",
               "Values of the last update that could not be read and are left out.",
               figure(figures.unreadable));
    text.gauge("beechpoint_gateway_keys_required", "1 where the configuration has a list of tenants.",
               figure(figures.tenants.has_value()));
    text.gauge("beechpoint_gateway_tenants", "Tenants of the configuration.",
               figure(figures.tenants.value_or(0)));
    text.counters("beechpoint_gateway_authorized_total", "Requests whose key did not speak against them.",
                  "outcome",
                  {byOutcome(counts, Outcome::tenant), byOutcome(counts, Outcome::anonymous),
                   byOutcome(counts, Outcome::unrestricted)});
    text.counters("beechpoint_gateway_unauthorized_total", "Requests answered with 401.", "reason",
                  {byOutcome(counts, Outcome::missingKey), byOutcome(counts, Outcome::revokedKey),
                   byOutcome(counts, Outcome::unknownKey)});
    text.counter("beechpoint_gateway_route_not_found_total", "Requests answered with 404.",
                 figure(counts.routeNotFound));
}

void writeAnswerFaults(MetricsText& text, const AnswerFaultCounts& counts) {
    std::vector<LabelledFigure> figures;
    for (std::size_t index = 0; index < kAnswerFaultCount; ++index) {
        const auto fault = static_cast<AnswerFault>(index);
        figures.push_back({nameOf(fault), figure(counts.of(fault))});
    }
    text.counters("beechpoint_gateway_answer_faults_total", "Answers of hosts that were no proper answer.",
                  "reason", figures);
}

void writeCloseDelimitedEnds(MetricsText& text, const CloseDelimitedEnds& ends) {
    text.counters("beechpoint_gateway_close_delimited_answers_total",
                  "Answers of hosts without a length that ended with their connection.", "answer",
                  {{"eventless_stream", figure(ends.eventlessStreams)},
                   {"begun_stream", figure(ends.begunStreams)},
                   {"other", figure(ends.otherAnswers)}});
}

void writeHostConnections(MetricsText& text, const GatewayFigures& figures) {
    const upstream::UpstreamCounts& counts = figures.hostCounts;
    text.gauge("beechpoint_gateway_host_connections", "Open connections to hosts.",
               figure(figures.hostConnections));
    text.counter("beechpoint_gateway_host_exchanges_total", "Requests sent to hosts.",
                 figure(counts.exchanges));
    text.counter("beechpoint_gateway_host_dials_total", "Connections begun to hosts.", figure(counts.dials));
    text.counter("beechpoint_gateway_host_dial_failures_total", "Of these, those that failed.",
                 figure(counts.dialFailures));
    text.counter("beechpoint_gateway_host_reuses_total", "Requests on connections used before.",
                 figure(counts.reuses));
    text.counter("beechpoint_gateway_host_surplus_total",
                 "Connections closed for bytes that belong to no request.", figure(counts.surplus));
}

}  // namespace

std::string metricsPage(const GatewayFigures& figures) {
    MetricsText text;
    writeState(text, figures);
    writeRequests(text, figures);
    writeMemory(text, figures);
    writeEnds(text, figures.endCounts);
    writeAccess(text, figures);
    writeAnswerFaults(text, figures.answerFaults);
    writeCloseDelimitedEnds(text, figures.closeDelimitedEnds);
    writeHostConnections(text, figures);
    return text.text();
}

}  // namespace beechpoint::gateway
