package caperrudder.policy;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Snapshot;
import caperrudder.policy.scheduling.TrafficClasses;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Writes the snapshot that one process leaves to the next, and reads the parts of one back. It decides nothing. */
final class SnapshotTransfer {
    private static final int CUSTOMERS_MAX = 4000; // those used last

    private final Map<Long, CustomerQuota> customers;
    private final EndpointTable hosts;
    private final TrafficClasses classes;

    SnapshotTransfer(Map<Long, CustomerQuota> customers, EndpointTable hosts, TrafficClasses classes) {
        this.customers = customers;
        this.hosts = hosts;
        this.classes = classes;
    }

    /** {@code refill} brings a customer's stores up to now. */
    Snapshot write(double now, double attemptsPerHost, Consumer<CustomerQuota> refill) {
        List<HealthSnapshot> health = new ArrayList<>();
        hosts.unsettled().stream().filter(s -> s.isListed()).forEach(s -> s.takeSnapshot(health));
        return new Snapshot(now, attemptsPerHost, writeCustomers(refill), health, classes.snapshot());
    }

    private List<QuotaSnapshot> writeCustomers(Consumer<CustomerQuota> refill) {
        return customers.values().stream()
                .sorted(Comparator.comparingDouble(c -> -c.touchedAt))
                .limit(CUSTOMERS_MAX)
                .peek(refill)
                .map(c -> new QuotaSnapshot(
                        c.id,
                        c.plan.name(),
                        c.first,
                        c.spread,
                        c.level,
                        c.tokens,
                        c.store,
                        c.demand,
                        c.used,
                        c.useRate,
                        c.meterPart,
                        c.meterAt,
                        c.meterOthers))
                .toList();
    }

    /** What both processes count from a full bucket is in the other's snapshot alone: what was spent here goes off. */
    static void readCustomer(double now, CustomerQuota c, QuotaSnapshot b, double spent) {
        c.level = Math.max(-c.plan.burstUnits(), Math.min(c.plan.burstUnits(), b.sharedLevel()) - spent);
        c.tokens = Math.min(c.plan.burstUnits(), b.localTokens()) - spent;
        c.store = Math.max(0, Math.min(c.plan.burstUnits(), b.meteredLevel()) - spent);
        c.demand += b.demandPerSecond();
        c.useRate += b.usePerSecond();
        c.meterPart = b.meteredShare();
        c.meterOthers = b.meteredOthersPerSecond();
        c.meterTotal = b.meteredOthersPerSecond() + b.usePerSecond();
        c.meterUse = c.plan.unitsPerSecond() > 0 ? c.meterTotal / c.plan.unitsPerSecond() : 0;
        c.meterAt = Math.min(now, b.meteredAtMs());
        c.informed = true;
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
