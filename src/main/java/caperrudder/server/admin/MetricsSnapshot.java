package caperrudder.server.admin;

import caperrudder.api.ClusterHealth;
import caperrudder.api.PolicyLoad;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What this process has done since its start and what it has in hand, at one moment. Immutable: the only thing that
 * crosses from the event loop to the admin address.
 *
 * @param classes the requests that ended, by class
 * @param attemptsSent attempts that were written whole to hosts
 * @param openRequests requests that came whole and have not ended
 * @param cluster the hosts that are listed
 * @param policyLoad what the policy holds for requests
 * @param headBytes what the heads of requests hold
 * @param bufferBytes what the buffers of connections to clients and hosts hold
 * @param protections what was refused or closed, by reason
 */
public record MetricsSnapshot(
        List<EndedRequests> classes,
        long attemptsSent,
        long openRequests,
        ClusterHealth cluster,
        PolicyLoad policyLoad,
        long headBytes,
        long bufferBytes,
        Map<Reason, Long> protections) {
    private static final int TEXT_CHARS = 2048; // to begin with

    /**
     * How the requests of one class ended.
     *
     * @param answered a host's answer was served
     * @param deferred rejected: the client may retry later
     * @param errored failed, or left by their client
     */
    public record EndedRequests(String requestClass, long answered, long deferred, long errored) {}

    /** The text form that Prometheus reads. Names and labels are read by others and must not change. */
    String toPrometheusText() {
        StringBuilder text = new StringBuilder(TEXT_CHARS);
        appendHeader(text, "app_transactions_total", "counter", "Requests ended: served, refused, failed.");
        for (EndedRequests ended : classes) {
            appendTransactions(text, ended.requestClass, "answered", ended.answered);
            appendTransactions(text, ended.requestClass, "deferred", ended.deferred);
            appendTransactions(text, ended.requestClass, "errored", ended.errored);
        }
        appendHeader(text, "app_sends_total", "counter", "Attempts written whole to hosts.");
        appendValue(text, "app_sends_total", attemptsSent);
        appendHeader(text, "app_current", "gauge", "Requests taken and not ended.");
        appendValue(text, "app_current", openRequests);
        appendHeader(text, "app_cluster_size", "gauge", "Hosts in the list.");
        appendValue(text, "app_cluster_size", cluster.hostCount());
        appendHeader(text, "app_cluster_unhealthy", "gauge", "Listed hosts that are avoided now.");
        appendValue(text, "app_cluster_unhealthy", cluster.unhealthyHostCount());
        appendHeader(text, "app_policy_requests", "gauge", "Requests that the policy holds.");
        appendValue(text, "app_policy_requests", policyLoad.pendingRequests());
        appendHeader(text, "app_policy_slots", "gauge", "Slots of the concurrency limit.");
        appendValue(text, "app_policy_slots{state=\"used\"}", policyLoad.slotsInUse());
        appendValue(text, "app_policy_slots{state=\"all\"}", policyLoad.slots());
        appendHeader(text, "app_held_bytes", "gauge", "Memory that messages hold.");
        appendValue(text, "app_held_bytes{kind=\"heads\"}", headBytes);
        appendValue(text, "app_held_bytes{kind=\"buffers\"}", bufferBytes);
        appendHeader(text, "app_protections_total", "counter", "Requests refused and connections closed, by reason.");
        protections.forEach((reason, count) -> appendProtections(text, reason, count));
        return text.toString();
    }

    private static void appendHeader(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ").append(name).append(' ').append(help).append('\n');
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void appendTransactions(StringBuilder text, String group, String state, long count) {
        String quoted = group.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        appendValue(text, "app_transactions_total{group=\"" + quoted + "\",state=\"" + state + "\"}", count);
    }

    private static void appendProtections(StringBuilder text, Reason reason, long count) {
        String action = reason.action().name().toLowerCase(Locale.ROOT);
        appendValue(text, "app_protections_total{action=\"" + action + "\",reason=\"" + reason.label() + "\"}", count);
    }

    private static void appendValue(StringBuilder text, String name, long value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
