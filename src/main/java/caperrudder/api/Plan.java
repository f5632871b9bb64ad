package caperrudder.api;

/** A plan's quotas, for each customer over all gateways; a figure of 0 means that there is no such limit. */
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
