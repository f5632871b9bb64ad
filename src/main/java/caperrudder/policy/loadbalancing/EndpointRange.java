package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * The part of the usable endpoints' order that was last asked for. It is copied anew only where an endpoint that stands
 * in it has come or gone, since of the changes in a large fleet few concern one gateway.
 */
final class EndpointRange {
    private final RankedEndpoints usable;
    private final EndpointOrder order;
    private List<Endpoint> endpoints = List.of();
    private Arc arc; // that the endpoints fill, or null where they were asked for by rank
    private boolean changed;

    /**
     * A part of the circular range of keys.
     *
     * @param from the first key
     * @param to the first key beyond it
     * @param minEndpoints of fewer in it, the next ones are taken too
     */
    private record Arc(int from, int to, int minEndpoints) {
        boolean contains(int key) {
            return from < to ? key >= from && key < to : key >= from || key < to;
        }
    }

    EndpointRange(RankedEndpoints usable, EndpointOrder order) {
        this.usable = usable;
        this.order = order;
    }

    /** To be notified of each host that becomes usable or ceases to be. */
    void noteChange(int key, String id) {
        changed |= contains(key, id);
    }

    /** Whether a host that stands here in the order would be one of the endpoints, or stand in their arc. */
    private boolean contains(int key, String id) {
        if (endpoints.isEmpty() || (arc != null && arc.contains(key))) return true;
        Endpoint first = endpoints.get(0);
        Endpoint last = endpoints.get(endpoints.size() - 1);
        boolean fromFirst = order.compare(key, id, first) >= 0;
        boolean toLast = order.compare(key, id, last) <= 0;
        boolean wrapsRound = order.compare(order.key(first), first.id(), last) > 0;
        return wrapsRound ? fromFirst || toLast : fromFirst && toLast;
    }

    /**
     * The endpoints whose keys lie in some of the equal parts of their range, counted round.
     *
     * @param part the first part, from 0 on
     * @param parts how many parts
     * @param of into how many parts the range is divided
     * @param minEndpoints where fewer lie there, the next ones are taken too
     * @return an unmodifiable list; the same one as long as it has not changed
     */
    List<Endpoint> byArc(int part, int parts, int of, int minEndpoints) {
        Arc wanted = new Arc(border(part, of), border(part + parts, of), minEndpoints);
        if (!changed && wanted.equals(arc) && endpoints.size() >= minEndpoints) return endpoints;
        arc = wanted;
        int size = usable.size();
        int first = usable.rank(arc.from);
        int count = Math.floorMod(usable.rank(arc.to) - first, Math.max(1, size));
        return select(first, Math.min(size, Math.max(minEndpoints, count)));
    }

    private static int border(int part, int of) {
        return (int) (Integer.MIN_VALUE + ((long) (part % of) << Integer.SIZE) / of);
    }

    /** So many endpoints from this rank on, counted round; unmodifiable, and the same list while it has not changed. */
    List<Endpoint> byRank(int rank, int count) {
        arc = null;
        boolean same = !changed
                && count == endpoints.size()
                && (count == 0 || endpoints.get(0) == usable.at(rank % usable.size()));
        return same ? endpoints : select(rank, count);
    }

    private List<Endpoint> select(int rank, int count) {
        endpoints = List.copyOf(RankedEndpoints.copyCircular(List.of(usable), rank, count));
        changed = false;
        return endpoints;
    }
}
