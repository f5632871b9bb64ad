package caperrudder.policy.gossip;

import java.util.OptionalDouble;

/**
 * A report from a gateway of a customer's replica set to an owner of the customer's quota.
 *
 * @param firstReplica number of the first gateway of the replica set
 * @param replicaCount number of gateways in the replica set
 * @param usedUnits running total of the units used at the sender
 * @param wantedUnits additional units needed by the requests that await a decision at the sender
 * @param demandPerSecond units per second demanded at the sender
 * @param openRequests number of requests open at the sender
 * @param fillRatio fill ratio of the shared bucket as known to the sender, -1 to 1; empty if that is stale
 * @param wantsReply whether the owner must reply
 * @param wantsCeilingUnits whether the wanted units are also needed from the ceiling bucket
 */
public record ReplicaReport(
        long customer,
        int planNumber,
        int firstReplica,
        int replicaCount,
        double usedUnits,
        double wantedUnits,
        double demandPerSecond,
        int openRequests,
        OptionalDouble fillRatio,
        boolean wantsReply,
        boolean wantsCeilingUnits)
        implements QuotaEntry {}
