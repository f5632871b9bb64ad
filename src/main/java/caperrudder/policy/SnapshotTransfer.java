package caperrudder.policy;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Snapshot;
import caperrudder.policy.scheduling.TrafficClasses;
import java.util.ArrayList;
import java.util.List;

/** Writes the snapshot that one process leaves to the next, and reads the parts of one back. It decides nothing. */
final class SnapshotTransfer {
    private final EndpointTable hosts;
    private final TrafficClasses classes;

    SnapshotTransfer(EndpointTable hosts, TrafficClasses classes) {
        this.hosts = hosts;
        this.classes = classes;
    }

    /** {@code refill} brings a customer's stores up to now. */
    Snapshot write(double now, double attemptsPerHost, List<QuotaSnapshot> quotas) {
        List<HealthSnapshot> health = new ArrayList<>();
        hosts.unsettled().stream().filter(s -> s.isListed()).forEach(s -> s.takeSnapshot(health));
        return new Snapshot(now, attemptsPerHost, quotas, health, classes.snapshot());
    }

    void readHealth(double now, List<HealthSnapshot> health) {
        for (HealthSnapshot b : health) {
            Endpoint s = hosts.find(b.host());
            if (s == null || !b.requestClass().isEmpty() && classes.find(b.requestClass()) == null) continue;
            s.scores().of(b.requestClass()).restore(b, now);
            hosts.unsettled().add(s);
        }
    }
}
