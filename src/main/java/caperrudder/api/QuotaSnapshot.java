package caperrudder.api;

/**
 * The state of a customer's token buckets and of its metered use.
 *
 * @param customer number of the customer
 * @param plan name of the customer's plan
 * @param firstReplica index of the first gateway of the customer's replica set
 * @param replicaCount number of gateways in the replica set: the first and those that follow it, wrapping around after
 *     the last gateway
 * @param sharedLevelUnits level of the bucket that this gateway keeps for the whole replica set, in units
 * @param localLevelUnits level of the bucket of this gateway's own share, in units
 * @param meteredLevelUnits level of the bucket that is used with metered admission, in units
 * @param demandUnitsPerSecond average units per second requested from this gateway
 * @param usedUnits total units charged at this gateway, less refunds
 * @param usedUnitsPerSecond average units per second admitted by this gateway
 * @param meteredShare this gateway's share of the metered use, from 0 to 1
 * @param lastMeterReportAtMs time of the meter's last report in milliseconds since 1970; negative infinity if there was
 *     none
 * @param meteredPeerUnitsPerSecond metered use of the other gateways, in units per second
 */
public record QuotaSnapshot(
        long customer,
        String plan,
        int firstReplica,
        int replicaCount,
        double sharedLevelUnits,
        double localLevelUnits,
        double meteredLevelUnits,
        double demandUnitsPerSecond,
        double usedUnits,
        double usedUnitsPerSecond,
        double meteredShare,
        double lastMeterReportAtMs,
        double meteredPeerUnitsPerSecond) {}
