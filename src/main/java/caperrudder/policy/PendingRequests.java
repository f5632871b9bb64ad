package caperrudder.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests of this gateway by id, each from its arrival until it is closed and all of its attempts have ended.
 * Their number is bounded by the server's limit on open requests. Confined to the policy's thread.
 */
final class PendingRequests {
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Returns the number of pending requests. */
    int size() {
        return byId.size();
    }

    /** Returns the request of this id, or null if it is not pending, as events may arrive for one that has ended. */
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
