package caperrudder.api;

import java.util.List;

/** What a gateway's next process is to know of its customers, hosts and classes; times are of the clock that both share. */
public record Snapshot(
        double takenAtMs,
        double concurrencyPerHost,
        List<QuotaSnapshot> quotas,
        List<HealthSnapshot> health,
        List<ClassSnapshot> classes) {}
