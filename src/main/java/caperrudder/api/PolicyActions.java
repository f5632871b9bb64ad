package caperrudder.api;

/** Everything that a gateway can do. */
public interface PolicyActions {
    void sendAttempt(String id, String host, double timeoutMs);

    void cancelAttempt(String id, int attempt);

    void reject(String id, double retryAfterMs);

    void fail(String id);

    void startTimer(double delayMs, String token);

    void startHealthCheck(String host);

    void sendToPeer(int peer, byte[] data);

    void addToCounter(String counter, double amount, double lifetimeMs);

    void subscribeToHosts();
}
