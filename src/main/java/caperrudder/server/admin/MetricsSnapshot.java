package caperrudder.server.admin;

import caperrudder.api.ClusterHealth;
import java.util.List;

/**
 * What this process has done since its start and what it has in hand, at one moment. Immutable: the only thing that
 * crosses from the event loop to the second address.
 */
public record MetricsSnapshot(List<Ended> classes, long sends, long current, ClusterHealth cluster) {
    /** How the requests of one class ended. */
    public record Ended(String name, long answered, long deferred, long errored) {}

    /** In the text form that scrapers of figures read. */
    String text() {
        StringBuilder b = new StringBuilder(1024);
        about(b, "app_transactions_total", "counter", "Requests ended: served, refused, failed.");
        for (Ended e : classes) {
            ended(b, e.name, "answered", e.answered);
            ended(b, e.name, "deferred", e.deferred);
            ended(b, e.name, "errored", e.errored);
        }
        about(b, "app_sends_total", "counter", "Attempts written whole to hosts.");
        line(b, "app_sends_total", sends);
        about(b, "app_current", "gauge", "Requests taken and not ended.");
        line(b, "app_current", current);
        about(b, "app_cluster_size", "gauge", "Hosts in the list.");
        line(b, "app_cluster_size", cluster.size());
        about(b, "app_cluster_unhealthy", "gauge", "Listed hosts that are avoided now.");
        line(b, "app_cluster_unhealthy", cluster.unhealthy());
        return b.toString();
    }

    private static void about(StringBuilder b, String name, String type, String help) {
        b.append("# HELP ").append(name).append(' ').append(help).append('\n');
        b.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void ended(StringBuilder b, String group, String state, long value) {
        String quoted = group.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        line(b, "app_transactions_total{group=\"" + quoted + "\",state=\"" + state + "\"}", value);
    }

    private static void line(StringBuilder b, String name, long value) {
        b.append(name).append(' ').append(value).append('\n');
    }
}
