package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.lavenderwick.daemon.entry.RequestMetrics;
import org.lavenderwick.daemon.group.GroupReport;

/** The metrics of a daemon. Thread-safe. */
final class DaemonMetrics implements RequestMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MultiGauge terms = gauge("lavenderwick_group_term", "Newest known term of an owned group.");
    private final MultiGauge queued = gauge("lavenderwick_group_queued", "Waiting work of an owned group by rank.");
    private final MultiGauge connections =
            gauge("lavenderwick_endpoint_connections", "Connections to an endpoint, open or being opened.");
    private final MultiGauge outstanding = gauge("lavenderwick_endpoint_outstanding", "Requests in flight.");
    private final MultiGauge limits = gauge("lavenderwick_endpoint_limit", "Concurrency limit of an endpoint.");
    private final MultiGauge paidLoad =
            gauge("lavenderwick_group_paid_load", "Statements of the busiest minute of the period so far.");

    @Override
    public void answered(String rank, String outcome, Duration latency) {
        Timer.builder("lavenderwick_requests")
                .description("Requests of callers by rank and outcome.")
                .tag("rank", rank)
                .tag("outcome", outcome)
                .register(registry)
                .record(latency);
    }

    /** Registers gauges that read the state of the daemon at each scrape. */
    void registerGauges(
            LongSupplier configurationVersion,
            LongSupplier seatTableVersion,
            IntSupplier inFlight,
            IntSupplier peerConnections) {
        Gauge.builder("lavenderwick_configuration_version", configurationVersion::getAsLong)
                .register(registry);
        Gauge.builder("lavenderwick_seat_table_version", seatTableVersion::getAsLong)
                .register(registry);
        Gauge.builder("lavenderwick_requests_in_flight", inFlight::getAsInt).register(registry);
        Gauge.builder("lavenderwick_peer_connections", peerConnections::getAsInt)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format, with the given reports as the state of the owned groups. */
    synchronized String scrape(List<GroupReport> groups) {
        terms.register(groupRows(groups, GroupReport::term), true);
        paidLoad.register(groupRows(groups, GroupReport::paidLoad), true);
        List<MultiGauge.Row<?>> queuedRows = new ArrayList<>();
        groups.forEach(group -> group.queued()
                .forEach((rank, count) -> queuedRows.add(
                        MultiGauge.Row.of(Tags.of("group", group.group().value(), "rank", rank), count))));
        queued.register(queuedRows, true);
        connections.register(endpointRows(groups, GroupReport.EndpointReport::connections), true);
        outstanding.register(endpointRows(groups, GroupReport.EndpointReport::outstanding), true);
        limits.register(endpointRows(groups, GroupReport.EndpointReport::limit), true);
        return registry.scrape();
    }

    private static List<MultiGauge.Row<?>> groupRows(List<GroupReport> groups, ToDoubleFunction<GroupReport> value) {
        List<MultiGauge.Row<?>> rows = new ArrayList<>();
        groups.forEach(group ->
                rows.add(MultiGauge.Row.of(Tags.of("group", group.group().value()), value.applyAsDouble(group))));
        return rows;
    }

    private static List<MultiGauge.Row<?>> endpointRows(
            List<GroupReport> groups, ToDoubleFunction<GroupReport.EndpointReport> value) {
        List<MultiGauge.Row<?>> rows = new ArrayList<>();
        groups.forEach(group -> group.endpoints()
                .forEach(endpoint -> rows.add(MultiGauge.Row.of(
                        Tags.of(
                                "group",
                                group.group().value(),
                                "endpoint",
                                endpoint.name().value()),
                        value.applyAsDouble(endpoint)))));
        return rows;
    }

    private MultiGauge gauge(String name, String description) {
        return MultiGauge.builder(name).description(description).register(registry);
    }
}
