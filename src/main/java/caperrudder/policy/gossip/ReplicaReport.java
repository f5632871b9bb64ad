package caperrudder.policy.gossip;

import java.util.OptionalDouble;

/**
 * From a gateway of a customer's replica set to an owner of its quota.
 *
 * @param firstReplica number of the first gateway of the replica set
 * @param replicaCount gateways in the set
 * @param usedUnits used by the sender so far, as a running total
 * @param wantedUnits that requests held at the sender need beside
 * @param demandPerSecond units per second demanded at the sender
 * @param openRequests open at the sender
 * @param fullness of the shared bucket as the sender sees it, -1 to 1, where its view is fresh
 * @param wantsReply whether the owner is to answer
 * @param wantsCeilingUnits whether the wanted units are to come from the ceiling, too
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
        OptionalDouble fullness,
        boolean wantsReply,
        boolean wantsCeilingUnits)
        implements QuotaEntry {}
