package caperrudder.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests of this gateway by their ids, each from its arrival until it is closed and all of its attempts have
 * ended. Their number is bounded by what the server holds open. Confined to the policy's thread.
 */
final class PendingRequests {
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** The pending request of this id, or null where there is none: events may come for one that has ended. */
    PendingRequest find(String id) {
        return byId.get(id);
    }

    void add(PendingRequest request) {
        byId.put(request.id(), request);
    }

    void remove(PendingRequest request) {
        byId.remove(request.id());
    }
}
