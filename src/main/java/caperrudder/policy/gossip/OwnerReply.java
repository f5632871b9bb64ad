package caperrudder.policy.gossip;

import java.util.OptionalDouble;

/**
 * From an owner of a customer's quota to a gateway of its replica set.
 *
 * @param bookedUnits of the receiver's running total, those the owner has booked, with what it granted
 * @param grantedUnits of what the receiver wanted
 * @param othersDemandPerSecond units per second demanded at all other gateways
 * @param othersOpenRequests open at all other gateways
 * @param fullness of the shared bucket, -1 to 1
 * @param uncertain whether the owner is new to its incarnation and does not know what was used before
 * @param ceilingUnitsGiven to the receiver in the present incarnations, as a running total; empty where the plan has
 *     no ceiling
 */
public record OwnerReply(
        long customer,
        int planNumber,
        double bookedUnits,
        double grantedUnits,
        double othersDemandPerSecond,
        int othersOpenRequests,
        double fullness,
        boolean uncertain,
        OptionalDouble ceilingUnitsGiven)
        implements QuotaEntry {}
