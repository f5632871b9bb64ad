package caperrudder.api;

/**
 * A plan's quotas, for each customer over all gateways (WIRE, {@code plans}); 0 means that there is no such quota.
 *
 * @param name as requests give it
 * @param unitsPerSecond the rate at which a customer's token bucket refills
 * @param burstUnits the tokens that the bucket holds at most, and at first
 * @param concurrencyLimit the attempts that a customer may have under way
 * @param valueFactor a factor on the value of each request
 * @param overQuotaValue the part of its value that a request over the quota earns
 * @param overQuotaCost the part of its value that a request over the quota costs
 * @param ceilingUnitsPerSecond the rate at which the second bucket, the ceiling, refills
 * @param ceilingBurstUnits the tokens that the ceiling holds at most, and at first
 * @param ceilingSlack the tokens by which the ceiling may go below 0
 */
public record Plan(
        String name,
        double unitsPerSecond,
        double burstUnits,
        int concurrencyLimit,
        double valueFactor,
        double overQuotaValue,
        double overQuotaCost,
        double ceilingUnitsPerSecond,
        double ceilingBurstUnits,
        double ceilingSlack) {}
