package caperrudder.scale;

/** A request under way, and what its events have cost so far. Not thread-safe. */
final class SimulatedRequest {
    private final String id;
    private final SimulatedGateway gateway;
    private final int tenant;
    private final double deadlineAtMs;
    private final boolean[] attemptEnded = new boolean[FleetSettings.MAX_ATTEMPTS];
    private long nanos;
    private long bytes;
    private int attempts;
    private int attemptsOpen;
    private boolean closed;

    SimulatedRequest(String id, SimulatedGateway gateway, int tenant, double deadlineAtMs) {
        this.id = id;
        this.gateway = gateway;
        this.tenant = tenant;
        this.deadlineAtMs = deadlineAtMs;
    }

    String id() {
        return id;
    }

    int tenant() {
        return tenant;
    }

    /** The moment at which the client gives up, on the simulated clock. */
    double deadlineAtMs() {
        return deadlineAtMs;
    }

    /** Counts an attempt and gives its number. */
    int beginAttempt() {
        if (closed || attempts >= attemptEnded.length) {
            throw new IllegalStateException("an attempt that the settings do not allow");
        }
        attemptsOpen++;
        return attempts++;
    }

    /** Marks an attempt as ended; false where it had ended before. */
    boolean endAttempt(int attempt) {
        if (attemptEnded[attempt]) {
            return false;
        }
        attemptEnded[attempt] = true;
        attemptsOpen--;
        return true;
    }

    /** Marks the client as answered; false where it was before. */
    boolean close() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether the client is answered and no attempt is under way. */
    boolean isOver() {
        return closed && attemptsOpen == 0;
    }

    /** Adds the cost of the gateway's last event. */
    void addLastEvent() {
        nanos += gateway.lastNanos();
        bytes += gateway.lastBytes();
    }

    /** Processor time of all its events, in nanoseconds. */
    long nanos() {
        return nanos;
    }

    /** Bytes that all its events allocated. */
    long bytes() {
        return bytes;
    }
}
