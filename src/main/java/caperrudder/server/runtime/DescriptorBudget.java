package caperrudder.server.runtime;

/**
 * How many of the descriptors that a process may hold go to clients, to hosts and to the second address. What else
 * needs one is set aside first: the program's files, the listeners, the peers' datagrams, calls to discovery, and
 * connections whose descriptor is free only at the loop's next look at its sockets.
 */
public record DescriptorBudget(int clients, int hosts, int secondAddress) {
    /** Taken by a listener at once: whom they displace, or who is turned away, holds a descriptor that long. */
    static final int ACCEPTED_AT_ONCE = 4;

    private static final int LISTENERS = 2; // each of which may have taken as many
    private static final int FILES = 28; // its archives, streams and selectors are 22; some more at its start
    private static final int DISCOVERY = 4; // two calls, and two that were just left
    private static final int OWN_SOCKETS = LISTENERS + 1 + DISCOVERY + 1; // with peers', and one to spare
    private static final double CLIENTS_SHARE = 0.42; // the pages give them a third
    private static final double CLIENTS_LEAST = 1 / 3.0;
    private static final double HOSTS_SHARE = 0.36;
    private static final double SECOND_SHARE = 0.03;
    private static final int SECOND_MIN = 4;

    /** Of {@code limit} descriptors that this process has for itself. */
    public static DescriptorBudget alone(int limit) {
        return divided(limit, limit, FILES);
    }

    /** Beside another process: only their sockets are counted together, and half of them may be its own. */
    public static DescriptorBudget shared(int limit) {
        return divided(limit / 2, limit, 0);
    }

    private static DescriptorBudget divided(int ours, int limit, int files) {
        int second = Math.max(SECOND_MIN, (int) (limit * SECOND_SHARE)); // it listens on with what it was told
        double free = ours - files - OWN_SOCKETS - second - LISTENERS * ACCEPTED_AT_ONCE;
        double scale = free / (ours * (CLIENTS_SHARE + HOSTS_SHARE));
        double held = Math.max(CLIENTS_LEAST / CLIENTS_SHARE, Math.min(1, scale));
        return new DescriptorBudget((int) (ours * CLIENTS_SHARE * held), (int) (ours * HOSTS_SHARE * held), second);
    }

    /** The most that a process which is alone holds at any moment. */
    int most() {
        return FILES + OWN_SOCKETS + LISTENERS * ACCEPTED_AT_ONCE + clients + hosts + secondAddress;
    }
}
