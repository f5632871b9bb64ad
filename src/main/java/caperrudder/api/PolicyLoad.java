package caperrudder.api;

/**
 * What the policy holds at one moment. While no request is open at the server, both counts must be 0.
 *
 * @param pendingRequests requests that were received and are not closed, or have open attempts
 * @param slotsInUse slots of the concurrency limit that working attempts hold
 * @param slots slots that there are now
 */
public record PolicyLoad(int pendingRequests, int slotsInUse, int slots) {
    /** Nothing is held. */
    public static final PolicyLoad NONE = new PolicyLoad(0, 0, 0);
}
