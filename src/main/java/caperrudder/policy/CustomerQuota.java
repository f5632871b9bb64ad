package caperrudder.policy;

import caperrudder.api.Plan;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/** One customer's stores here; as its keeper, also what the others of its set told. */
final class CustomerQuota {
    final long id;
    final int planNumber;
    final Plan plan;
    final int first;
    final int spread;
    final int[] keepers; // gateways of its set, the first in charge
    final Map<Integer, ReplicaState> members = new TreeMap<>();
    final ArrayDeque<PendingRequest> pending = new ArrayDeque<>(); // requests that wait for a keeper's word
    double tokens; // the own bucket
    double level; // the whole store: as a keeper what is booked, else the most that it can hold
    double ceiling;
    double touchedAt;
    double demand;
    double others; // demand of the other gateways
    int othersOpen;
    double used;
    double inherited = State.NEVER; // of what the process before this one used in all, charged here already
    double unsent; // ceiling units let in whose requests have not left yet
    double newsAt = State.NEVER; // when a keeper last told
    double toldAt = State.NEVER;
    boolean informed; // as a keeper: knows what was used before its start
    double meterPart;
    double meterUse; // of the quota, by all gateways, as the meter last told
    double meterAt = State.NEVER;
    double store; // the whole store as the meter tells it
    double meterTotal; // what all gateways used a second, as the meter last told
    double meterOthers; // what the other gateways used a second, as the meter last told
    double useRate;
    int open;
    double openPeak; // most open here at once of late; fades
    double openTurnMs; // in which each gateway of the set could let in one, for all to use the limit
    double openNextAt = State.NEVER; // no further one is let in before
    double peakTill = State.NEVER; // so long the meter's word on what others have open holds

    CustomerQuota(long id, int planNumber, Plan plan, int first, int spread, int[] keepers, double now) {
        this.id = id;
        this.planNumber = planNumber;
        this.plan = plan;
        this.first = first;
        this.spread = spread;
        this.keepers = keepers;
        this.touchedAt = now;
    }

    /** What is known between this gateway and a peer on this customer, new for each life of the peer. */
    ReplicaState member(PeerState peer) {
        ReplicaState m = members.get(peer.number);
        if (m == null || m.epoch != peer.epoch) {
            othersOpen -= m == null ? 0 : m.open;
            m = new ReplicaState();
            m.epoch = peer.epoch;
            members.put(peer.number, m);
        }
        return m;
    }

    double fullness() {
        return plan.burstUnits() > 0 ? level / plan.burstUnits() : 1;
    }

    double pendingUnits() {
        return pending.stream().mapToDouble(a -> a.units()).sum();
    }
}
