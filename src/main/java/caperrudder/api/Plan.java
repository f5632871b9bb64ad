package caperrudder.api;

/**
 * The quotas that each customer of a plan has over all gateways (WIRE, {@code plans}). A rate or limit of 0 means that
 * the plan has no such quota.
 *
 * @param name the name by which requests refer to the plan
 * @param unitsPerSecond refill rate of the customer's token bucket, in units per second
 * @param burstUnits capacity and initial level of the token bucket, in units
 * @param concurrencyLimit maximum number of the customer's concurrent attempts
 * @param valueFactor factor applied to the value of each request
 * @param overQuotaValueShare share of its value that a request over the quota earns
 * @param overQuotaCostRatio cost of a request over the quota as a multiple of its value
 * @param ceilingUnitsPerSecond refill rate of the ceiling, a second bucket that also limits requests over the quota, in
 *     units per second
 * @param ceilingBurstUnits capacity and initial level of the ceiling, in units
 * @param ceilingSlack units by which the level of the ceiling may fall below 0
 */
public record Plan(
        String name,
        double unitsPerSecond,
        double burstUnits,
        int concurrencyLimit,
        double valueFactor,
        double overQuotaValueShare,
        double overQuotaCostRatio,
        double ceilingUnitsPerSecond,
        double ceilingBurstUnits,
        double ceilingSlack) {}
