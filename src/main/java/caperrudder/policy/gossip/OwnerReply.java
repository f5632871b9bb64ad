package caperrudder.policy.gossip;

import java.util.OptionalDouble;

/**
 * A reply from an owner of a customer's quota to a gateway of the customer's replica set.
 *
 * @param chargedUnits the receiver's running total of used units as charged by the owner, including the granted units
 * @param grantedUnits units granted in response to the receiver's last report
 * @param peerDemandPerSecond units per second demanded at all gateways except the receiver
 * @param peerOpenRequests number of requests open at all gateways except the receiver
 * @param fillRatio fill ratio of the shared bucket, -1 to 1
 * @param uncertain whether the owner started recently and does not know which units were used before
 * @param ceilingUnitsGranted running total of the ceiling units granted to the receiver, counted from the later
 *     start of the two gateways; empty if the plan has no ceiling
 */
public record OwnerReply(
        long customer,
        int planNumber,
        double chargedUnits,
        double grantedUnits,
        double peerDemandPerSecond,
        int peerOpenRequests,
        double fillRatio,
        boolean uncertain,
        OptionalDouble ceilingUnitsGranted)
        implements QuotaEntry {}
