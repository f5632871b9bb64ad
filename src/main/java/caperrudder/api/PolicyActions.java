package caperrudder.api;

/**
 * Everything that a gateway can do. Actions are carried out after the event that decided them, in their order; what
 * comes of them is reported by an event of its own. Times are in milliseconds.
 */
public interface PolicyActions {
    /** Sends a request to a host; the attempts of a request are numbered from 0. No time limit where it is 0. */
    void sendAttempt(String id, String host, double timeoutMs);

    /** Cancels an attempt, which ends with {@link Outcome#CANCELLED}. */
    void cancelAttempt(String id, int attempt);

    /** Answers that there is no capacity or quota; 0 where the client gets no Retry-After. */
    void reject(String id, double retryAfterMs);

    /** Answers that the request failed. */
    void fail(String id);

    /** Starts a timer. */
    void startTimer(double delayMs, String token);

    /** Asks a host for its health. */
    void startHealthCheck(String host);

    /** Sends a message to another gateway, by its number; it may get lost. */
    void sendToPeer(int peer, byte[] data);

    /** Adds to a shared counter, which is forgotten after its lifetime. */
    void addToCounter(String counter, double amount, double lifetimeMs);

    /** Asks for the list of hosts and all its changes. */
    void subscribeToHosts();
}
