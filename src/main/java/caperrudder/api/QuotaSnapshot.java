package caperrudder.api;

/** A customer's stores and meter; {@code used} is a running total. */
public record QuotaSnapshot(
        long customer,
        String plan,
        int firstReplica,
        int replicaCount,
        double sharedLevel,
        double localTokens,
        double meteredLevel,
        double demandPerSecond,
        double usedUnits,
        double usePerSecond,
        double meteredShare,
        double meteredAtMs,
        double meteredOthersPerSecond) {}
