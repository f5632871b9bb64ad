package caperrudder.api;

/**
 * A customer's token buckets and meter.
 *
 * @param customer the customer's number
 * @param plan the name of its plan
 * @param firstReplica the first gateway of its replica set
 * @param replicaCount the gateways of its replica set, counted round from the first
 * @param sharedLevel the level of the bucket that this gateway keeps for the whole set, in units
 * @param localTokens the tokens of this gateway's own demand share
 * @param meteredLevel the level of the bucket under metered admission, in units
 * @param demandPerSecond the units that come to this gateway
 * @param usedUnits the units admitted here: a running total
 * @param usePerSecond the rate at which that total grows
 * @param meteredShare this gateway's part of the metered use
 * @param meteredAtMs when the meter last reported
 * @param meteredOthersPerSecond the metered use of the other gateways, in units
 */
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
