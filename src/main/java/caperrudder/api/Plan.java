package caperrudder.api;

/** A plan's quotas, for each customer over all gateways; a figure of 0 means that there is no such limit. */
public record Plan(
        String name,
        double rate,
        double burst,
        int openLimit,
        double price,
        double overWorth,
        double overCost,
        double ceilingRate,
        double ceilingBurst,
        double ceilingSlack) {}
