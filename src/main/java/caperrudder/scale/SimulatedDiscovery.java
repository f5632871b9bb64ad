package caperrudder.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

/** Discovery as PROTOCOL gives it: numbered hosts with states, and the texts that it answers with. Not thread-safe. */
final class SimulatedDiscovery {
    /** The zones, among which hosts are dealt by turns. */
    static final int ZONES = 8;

    private static final int CELLS = 16;
    private static final int BYTES_PER_ENTRY = 160;

    /** The state of a host, in the order and by the names of the list. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One host, with what its load reports need. */
    static final class SimulatedHost {
        private final String id;
        private final String address;
        private final String zone;
        private final int cell;
        private State state = State.READY;
        private long startedAtMs;
        private boolean silent;
        private int inFlight;

        private SimulatedHost(String id, String address, String zone, int cell) {
            this.id = id;
            this.address = address;
            this.zone = zone;
            this.cell = cell;
        }

        String id() {
            return id;
        }

        State state() {
            return state;
        }

        /** Its last start, in Unix milliseconds; 0 where that was long ago. */
        long startedAtMs() {
            return startedAtMs;
        }

        String zone() {
            return zone;
        }

        /** Whether its machine has vanished, so that nothing is answered. */
        boolean isSilent() {
            return silent;
        }

        void setSilent(boolean silent) {
            this.silent = silent;
        }

        void beginWork() {
            inFlight++;
        }

        void endWork() {
            inFlight--;
        }

        int inFlight() {
            return inFlight;
        }
    }

    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Map<String, SimulatedHost> hostsById = new HashMap<>();
    private long version = 1;

    /** So many ready hosts, in zones by turns; each has the address that its number is given. */
    SimulatedDiscovery(int count, long seed, IntFunction<String> address) {
        Random random = new Random(seed);
        while (hosts.size() < count) {
            String id = String.format(Locale.ROOT, "s-%08x", random.nextInt());
            int number = hosts.size();
            SimulatedHost host =
                    new SimulatedHost(id, address.apply(number), zoneName(number % ZONES), random.nextInt(CELLS));
            if (hostsById.putIfAbsent(id, host) == null) {
                hosts.add(host);
            }
        }
    }

    /** A zone's name, by its number. */
    static String zoneName(int number) {
        return String.valueOf((char) ('a' + number));
    }

    List<SimulatedHost> hosts() {
        return hosts;
    }

    /** The host of an id that a list has given. */
    SimulatedHost host(String id) {
        return hostsById.get(id);
    }

    /** The version of the list, one more with each change. */
    long version() {
        return version;
    }

    /** Changes one host; {@code startedAtMs} is its last start, in Unix milliseconds, 0 where that was long ago. */
    void change(SimulatedHost host, State state, long startedAtMs) {
        host.state = state;
        host.startedAtMs = startedAtMs;
        version++;
    }

    /** The answer to a call for the full list. */
    byte[] fullList() {
        return text(hosts.stream().filter(host -> host.state != State.GONE).toList(), true);
    }

    /** The answer to a watch that names what has changed since its version. */
    byte[] changes(List<SimulatedHost> changed) {
        return text(changed, false);
    }

    private byte[] text(List<SimulatedHost> listed, boolean full) {
        StringBuilder text = new StringBuilder(BYTES_PER_ENTRY * (listed.size() + 1));
        text.append("{\"version\":")
                .append(version)
                .append(",\"full\":")
                .append(full)
                .append(",\"servers\":[");
        String separator = "\n";
        for (SimulatedHost host : listed) {
            append(text.append(separator), host);
            separator = ",\n";
        }
        return text.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static void append(StringBuilder text, SimulatedHost host) {
        text.append("{\"id\":\"")
                .append(host.id)
                .append("\",\"addr\":\"")
                .append(host.address)
                .append("\",\"zone\":\"")
                .append(host.zone)
                .append("\",\"kind\":\"m2\",\"cell\":")
                .append(host.cell)
                .append(",\"state\":\"")
                .append(host.state.name().toLowerCase(Locale.ROOT))
                .append("\",\"weight\":1.0,\"started_ms\":")
                .append(host.startedAtMs)
                .append('}');
    }
}
