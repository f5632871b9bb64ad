package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * A contiguous range of the usable endpoints in their order, cached from the last call. It is copied again only if
 * another range is requested, or if an endpoint inside it has become usable or unusable. In a large fleet, few changes
 * affect the range of one gateway.
 */
final class CachedEndpointRange {
    private final RankedEndpoints usable;
    private final EndpointOrder order;
    private List<Endpoint> endpoints = List.of();
    private Arc arc; // of the last call; null if that was byRank
    private boolean changed;

    /**
     * An arc of the ring of keys.
     *
     * @param fromKey the start of the arc, inclusive
     * @param toKey the end of the arc, exclusive
     * @param minEndpoints if the arc contains fewer, the ones that follow it are included up to this number
     */
    private record Arc(int fromKey, int toKey, int minEndpoints) {
        boolean contains(int key) {
            return fromKey < toKey ? key >= fromKey && key < toKey : key >= fromKey || key < toKey;
        }
    }

    CachedEndpointRange(RankedEndpoints usable, EndpointOrder order) {
        this.usable = usable;
        this.order = order;
    }

    /**
     * Marks the cached range as outdated if the host may belong to it. Must be called for each host that becomes usable
     * or unusable.
     */
    void recordChange(int key, String id) {
        changed |= contains(key, id);
    }

    /**
     * Returns whether a host with this key and id lies in the arc, or between the first and the last endpoint; always
     * true if the range is empty.
     */
    private boolean contains(int key, String id) {
        if (endpoints.isEmpty() || (arc != null && arc.contains(key))) return true;
        Endpoint first = endpoints.get(0);
        Endpoint last = endpoints.get(endpoints.size() - 1);
        boolean notBeforeFirst = order.compare(key, id, first) >= 0;
        boolean notAfterLast = order.compare(key, id, last) <= 0;
        boolean wrapsAround = order.compare(order.key(first), first.id(), last) > 0;
        return wrapsAround ? notBeforeFirst || notAfterLast : notBeforeFirst && notAfterLast;
    }

    /**
     * Returns the endpoints whose keys lie in consecutive segments of the ring of keys, which is divided into equal
     * segments.
     *
     * @param firstSegment the first segment, counted from 0
     * @param segmentsInArc the number of consecutive segments
     * @param segmentsInRing the number of segments in the whole ring
     * @param minEndpoints if the segments contain fewer, the ones that follow are included up to this number
     * @return an unmodifiable list; the same instance as before if nothing has changed
     */
    List<Endpoint> byArc(int firstSegment, int segmentsInArc, int segmentsInRing, int minEndpoints) {
        Arc requested = new Arc(
                segmentStart(firstSegment, segmentsInRing),
                segmentStart(firstSegment + segmentsInArc, segmentsInRing),
                minEndpoints);
        if (!changed && requested.equals(arc) && endpoints.size() >= minEndpoints) return endpoints;
        arc = requested;
        int size = usable.size();
        int first = usable.rankOfKey(arc.fromKey);
        int count = Math.floorMod(usable.rankOfKey(arc.toKey) - first, Math.max(1, size));
        return select(first, Math.min(size, Math.max(minEndpoints, count)));
    }

    private static int segmentStart(int segment, int segmentsInRing) {
        return (int) (Integer.MIN_VALUE + ((long) (segment % segmentsInRing) << Integer.SIZE) / segmentsInRing);
    }

    /**
     * Returns {@code count} endpoints from a rank on, wrapping around at the end.
     *
     * @return an unmodifiable list; the same instance as before if nothing has changed
     */
    List<Endpoint> byRank(int rank, int count) {
        arc = null;
        boolean unchanged = !changed
                && count == endpoints.size()
                && (count == 0 || endpoints.get(0) == usable.get(rank % usable.size()));
        return unchanged ? endpoints : select(rank, count);
    }

    private List<Endpoint> select(int rank, int count) {
        endpoints = List.copyOf(RankedEndpoints.copyCircular(List.of(usable), rank, count));
        changed = false;
        return endpoints;
    }
}
