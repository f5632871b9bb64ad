package caperrudder.api;

import java.util.List;

/**
 * The state of customers, hosts and classes that a gateway's process leaves to its successor. Times are in milliseconds
 * since 1970.
 *
 * @param takenAtMs when the snapshot was taken
 * @param concurrencyLimitPerHost concurrency limit per host, as the number of attempts from all gateways together
 * @param quotas one entry per customer
 * @param health one entry per host, and one per host and class of requests
 * @param classes one entry per class of requests
 */
public record PolicySnapshot(
        double takenAtMs,
        double concurrencyLimitPerHost,
        List<QuotaSnapshot> quotas,
        List<HealthSnapshot> health,
        List<ClassSnapshot> classes) {}
