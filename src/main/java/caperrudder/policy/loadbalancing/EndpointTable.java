package caperrudder.policy.loadbalancing;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * All endpoints that are listed, or were until lately: plain data and look-ups, no decision. What a change costs
 * follows what it changes, not how many endpoints there are; only a full list, and its end, visit all.
 */
final class EndpointTable {
    private final EndpointOrder order;
    private final RankedEndpoints all = new RankedEndpoints();
    private final RankedEndpoints usable = new RankedEndpoints();
    private final EndpointsByLocation usableByLocation = new EndpointsByLocation();
    private final EndpointRange range;
    private final Set<Endpoint> unlisted = new LinkedHashSet<>();
    private int listed;

    EndpointTable(EndpointOrder order) {
        this.order = order;
        range = new EndpointRange(usable, order);
    }

    /** The endpoint of this host id, be it listed or not; null where there is none. */
    Endpoint find(String hostId) {
        return all.find(order.key(hostId), hostId);
    }

    /** From here to {@link #endFullList} each endpoint counts as unlisted until it is put. */
    void beginFullList() {
        all.forEach(endpoint -> endpoint.setListed(false));
        listed = 0;
    }

    /** Takes in the latest entry of a host; the last one of several counts. */
    Endpoint put(Host host) {
        int key = order.key(host.id());
        Endpoint endpoint = all.find(key, host.id());
        if (endpoint == null) {
            endpoint = new Endpoint(host);
            all.add(key, endpoint);
        }
        boolean moves = endpoint.isIndexed() && !DeduplicationScope.CELL.isSharedBy(endpoint.host(), host);
        if (moves) removeFromIndex(key, endpoint); // while its old zone and cell are known
        endpoint.updateHost(host);
        boolean nowListed = host.state() != HostState.GONE;
        listed += (nowListed ? 1 : 0) - (endpoint.isListed() ? 1 : 0);
        endpoint.setListed(nowListed);
        updateIndex(endpoint);
        return endpoint;
    }

    void endFullList() {
        all.forEach(this::updateIndex);
    }

    private void updateIndex(Endpoint endpoint) {
        if (!endpoint.isListed()) unlisted.add(endpoint);
        else if (!unlisted.isEmpty()) unlisted.remove(endpoint);
        if (endpoint.isUsable() == endpoint.isIndexed()) return;
        int key = order.key(endpoint);
        if (endpoint.isIndexed()) removeFromIndex(key, endpoint);
        else addToIndex(key, endpoint);
    }

    private void addToIndex(int key, Endpoint endpoint) {
        endpoint.setIndexed(true);
        usable.add(key, endpoint);
        usableByLocation.add(key, endpoint);
        range.noteChange(key, endpoint.id());
    }

    private void removeFromIndex(int key, Endpoint endpoint) {
        endpoint.setIndexed(false);
        range.noteChange(key, endpoint.id());
        usable.remove(key, endpoint);
        usableByLocation.remove(key, endpoint);
    }

    /** Forgets the endpoints that are no longer listed and have no outstanding attempt. */
    void removeUnlisted(Consumer<Endpoint> onRemoval) {
        unlisted.removeIf(endpoint -> {
            if (!endpoint.isIdle()) return false;
            all.remove(order.key(endpoint), endpoint);
            onRemoval.accept(endpoint);
            return true;
        });
    }

    /** Endpoints in the list, whatever their state. */
    int listedCount() {
        return listed;
    }

    /** Endpoints that may be used. */
    int usableCount() {
        return usable.size();
    }

    /** Endpoints in the list that may not be used, since they are draining. */
    int unusableCount() {
        return listed - usable.size();
    }

    /** A part of the usable endpoints' order, to be asked for the part that this gateway uses. */
    EndpointRange range() {
        return range;
    }

    /** All usable endpoints, as one part. */
    Collection<RankedEndpoints> usable() {
        return List.of(usable);
    }

    /** The usable endpoints that drop repeats of the same idempotency keys as this host, in parts. */
    Collection<RankedEndpoints> usableSharing(DeduplicationScope scope, Host host) {
        return switch (scope) {
            case ALL -> usable();
            case ZONE -> usableByLocation.inZoneOf(host);
            case CELL -> usableByLocation.inCellOf(host);
        };
    }

    /** See {@link RankedEndpoints#visited}. */
    long visited() {
        return all.visited() + usable.visited() + usableByLocation.visited();
    }
}
