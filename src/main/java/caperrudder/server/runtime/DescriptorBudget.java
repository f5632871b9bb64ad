package caperrudder.server.runtime;

/**
 * How many of the file descriptors that a process may hold go to clients, to hosts and to the admin address. What else
 * needs one is reserved first: the program's files, the listeners, the peers' datagrams, polls of discovery, and
 * connections whose descriptor is free only after the event loop's next select. Immutable.
 *
 * @param clients the most connections of clients
 * @param hosts the most connections to hosts
 * @param admin the most connections at the admin address
 */
public record DescriptorBudget(int clients, int hosts, int admin) {
    /** Connections that a listener accepts at once: what they displace, or what is rejected, is open that long. */
    static final int ACCEPTED_AT_ONCE = 4;

    private static final int LISTENERS = 2; // each of which may have accepted as many
    private static final int FILES = 28; // the program's archives, streams and selectors are 22; some more at its start
    private static final int DISCOVERY = 4; // two connections, and two that were just closed
    private static final int OWN_SOCKETS = LISTENERS + 1 + DISCOVERY + 1; // with that of the peers, and one to spare
    private static final double CLIENTS_SHARE = 0.42; // DEPLOY asks for a third
    private static final double CLIENTS_MIN_SHARE = 1 / 3.0;
    private static final double HOSTS_SHARE = 0.36;
    private static final double ADMIN_SHARE = 0.03;
    private static final int ADMIN_MIN = 4;

    /** Of {@code limit} descriptors that this process has for itself. */
    public static DescriptorBudget exclusive(int limit) {
        return divide(limit, limit, FILES);
    }

    /** Beside another process of the gateway: only sockets are counted together, of which half may be its own. */
    public static DescriptorBudget shared(int limit) {
        return divide(limit / 2, limit, 0);
    }

    private static DescriptorBudget divide(int own, int limit, int files) {
        int admin = Math.max(ADMIN_MIN, (int) (limit * ADMIN_SHARE)); // its number stays as it was at the start
        double free = own - files - OWN_SOCKETS - admin - LISTENERS * ACCEPTED_AT_ONCE;
        double scale = free / (own * (CLIENTS_SHARE + HOSTS_SHARE));
        double granted = Math.max(CLIENTS_MIN_SHARE / CLIENTS_SHARE, Math.min(1, scale));
        return new DescriptorBudget((int) (own * CLIENTS_SHARE * granted), (int) (own * HOSTS_SHARE * granted), admin);
    }

    /** The most descriptors that a process with an exclusive budget holds at any moment. */
    int maximumInUse() {
        return FILES + OWN_SOCKETS + LISTENERS * ACCEPTED_AT_ONCE + clients + hosts + admin;
    }
}
