package caperrudder.api;

/**
 * The actions that the policy can take. Called only while the policy handles an event, on the thread of that event, and
 * executed in the order of the calls. Their results are reported by later {@link PolicyEvents}. No event is delivered
 * before the policy has finished handling the current one, even if an action has a result at once. All times are in
 * milliseconds.
 */
public interface PolicyActions {
    /**
     * Sends a request to a host. Each call starts the next attempt of the request; attempts are numbered from 0.
     *
     * @param id id of the request
     * @param host id of the host
     * @param timeoutMs time limit of the attempt; 0 for none
     */
    void sendAttempt(String id, String host, double timeoutMs);

    /** Cancels an attempt, which then ends with {@link Outcome#CANCELLED}. */
    void cancelAttempt(String id, int attempt);

    /**
     * Rejects a request because of missing capacity or quota.
     *
     * @param id id of the request
     * @param retryAfterMs the Retry-After for the client; 0 for none
     */
    void reject(String id, double retryAfterMs);

    /** Responds to the client that its request has failed. */
    void fail(String id);

    /** Starts a timer that fires once. {@link PolicyEvents#timerFired} is then called with the token. */
    void startTimer(double delayMs, String token);

    /** Sends a health check to a host. */
    void startHealthCheck(String host);

    /**
     * Sends a message to another gateway. Messages may be lost.
     *
     * @param peer index of the gateway, from 0
     * @param data the message, which must not be modified afterwards
     */
    void sendToPeer(int peer, byte[] data);

    /** Adds an amount to a shared counter, which is removed after its lifetime. */
    void addToCounter(String counter, double amount, double lifetimeMs);

    /** Subscribes to the list of hosts and its changes. */
    void subscribeToHosts();
}
