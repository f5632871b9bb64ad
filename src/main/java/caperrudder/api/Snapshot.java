package caperrudder.api;

import java.util.List;

/**
 * What a gateway's next process is to know of its customers, hosts and classes. Times are of the clock that both
 * processes share.
 *
 * @param takenAtMs when it was taken
 * @param concurrencyPerHost the concurrency limit of each host
 * @param quotas by customer
 * @param health by host, or by host and class
 * @param classes by class
 */
public record Snapshot(
        double takenAtMs,
        double concurrencyPerHost,
        List<QuotaSnapshot> quotas,
        List<HealthSnapshot> health,
        List<ClassSnapshot> classes) {}
