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
 * All endpoints that are listed, or were until recently, with their indexes. It makes no decisions. The cost of a
 * change depends on how many endpoints it changes; only a full list visits all of them, when it begins and ends.
 */
final class EndpointTable {
    private final EndpointOrder order;
    private final RankedEndpoints all = new RankedEndpoints();
    private final RankedEndpoints usable = new RankedEndpoints();
    private final EndpointsByLocation usableByLocation = new EndpointsByLocation();
    private final CachedEndpointRange usableRange;
    private final Set<Endpoint> unlisted = new LinkedHashSet<>();
    private int listedCount;

    EndpointTable(EndpointOrder order) {
        this.order = order;
        usableRange = new CachedEndpointRange(usable, order);
    }

    /** Returns the endpoint with this host id, which may be unlisted; null if there is none. */
    Endpoint find(String hostId) {
        return all.find(order.key(hostId), hostId);
    }

    /** Begins a full list: marks all endpoints as unlisted. Those in the list must follow by {@link #addOrUpdate}. */
    void beginFullList() {
        all.forEach(endpoint -> endpoint.setListed(false));
        listedCount = 0;
    }

    /** Adds or updates the endpoint of a host, and returns it. Of several entries for a host, the last one counts. */
    Endpoint addOrUpdate(Host host) {
        int key = order.key(host.id());
        Endpoint endpoint = all.find(key, host.id());
        if (endpoint == null) {
            endpoint = new Endpoint(host);
            all.add(key, endpoint);
        }
        boolean relocated = endpoint.isIndexed() && !DeduplicationScope.CELL.isSharedBy(endpoint.host(), host);
        if (relocated) removeFromIndex(key, endpoint); // needs the old zone and cell
        endpoint.updateHost(host);
        boolean nowListed = host.state() != HostState.GONE;
        listedCount += (nowListed ? 1 : 0) - (endpoint.isListed() ? 1 : 0);
        endpoint.setListed(nowListed);
        updateIndex(endpoint);
        return endpoint;
    }

    /** Ends a full list: removes the endpoints that it did not contain from the indexes of usable endpoints. */
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
        usableRange.recordChange(key, endpoint.id());
    }

    private void removeFromIndex(int key, Endpoint endpoint) {
        endpoint.setIndexed(false);
        usableRange.recordChange(key, endpoint.id());
        usable.remove(key, endpoint);
        usableByLocation.remove(key, endpoint);
    }

    /** Removes the unlisted endpoints without outstanding attempts, and passes each to {@code onRemoval}. */
    void removeUnlisted(Consumer<Endpoint> onRemoval) {
        unlisted.removeIf(endpoint -> {
            if (!endpoint.isIdle()) return false;
            all.remove(order.key(endpoint), endpoint);
            onRemoval.accept(endpoint);
            return true;
        });
    }

    /** Returns the number of listed endpoints, whatever their state. */
    int listedCount() {
        return listedCount;
    }

    /** Returns the number of endpoints to which attempts may be sent. */
    int usableCount() {
        return usable.size();
    }

    /** Returns the number of listed endpoints that are not usable because they are draining. */
    int unusableCount() {
        return listedCount - usable.size();
    }

    /** Returns the range of usable endpoints from which this gateway's subset is taken. */
    CachedEndpointRange usableRange() {
        return usableRange;
    }

    /** Returns all usable endpoints, as a single list. */
    Collection<RankedEndpoints> usable() {
        return List.of(usable);
    }

    /** Returns the usable endpoints that share this host's memory of idempotency keys, as one or more lists. */
    Collection<RankedEndpoints> usableInScopeOf(DeduplicationScope scope, Host host) {
        return switch (scope) {
            case ALL -> usable();
            case ZONE -> usableByLocation.inZoneOf(host);
            case CELL -> usableByLocation.inCellOf(host);
        };
    }

    /** Returns the number of endpoints visited so far, see {@link RankedEndpoints#visitedCount}. */
    long visitedCount() {
        return all.visitedCount() + usable.visitedCount() + usableByLocation.visitedCount();
    }
}
