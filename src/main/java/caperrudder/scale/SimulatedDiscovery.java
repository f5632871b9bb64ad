package caperrudder.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

/** Discovery as the protocol's page gives it: numbered hosts with states, and the texts that it answers with. */
final class SimulatedDiscovery {
    static final int ZONES = 8;
    private static final int CELLS = 16;
    private static final int BYTES_AN_ENTRY = 160;

    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One host; what it has to do now is kept here, too, for its reports. */
    static final class Entry {
        final String id;
        private final String address;
        private final String zone;
        private final int cell;
        private State state = State.READY;
        private long startedMs;
        boolean silent; // its machine has vanished: nothing is answered
        int inWork;

        private Entry(String id, String address, String zone, int cell) {
            this.id = id;
            this.address = address;
            this.zone = zone;
            this.cell = cell;
        }

        State state() {
            return state;
        }

        /** Its last start, in Unix milliseconds; 0 where that was long ago. */
        long startedMs() {
            return startedMs;
        }

        String zone() {
            return zone;
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Entry> byId = new HashMap<>();
    private long version = 1;

    /** So many ready hosts, in zones by turns; each has the address that its number is given. */
    SimulatedDiscovery(int hosts, long seed, IntFunction<String> address) {
        Random random = new Random(seed);
        while (entries.size() < hosts) {
            String id = String.format(Locale.ROOT, "s-%08x", random.nextInt());
            int number = entries.size();
            Entry e = new Entry(id, address.apply(number), zoneName(number % ZONES), random.nextInt(CELLS));
            if (byId.putIfAbsent(id, e) == null) {
                entries.add(e);
            }
        }
    }

    static String zoneName(int number) {
        return String.valueOf((char) ('a' + number));
    }

    List<Entry> entries() {
        return entries;
    }

    Entry entry(String id) {
        return byId.get(id);
    }

    long version() {
        return version;
    }

    /** Changes one host; {@code startedMs} is its last start, in Unix milliseconds, 0 where that was long ago. */
    void change(Entry e, State state, long startedMs) {
        e.state = state;
        e.startedMs = startedMs;
        version++;
    }

    /** The answer to a call for the whole list. */
    byte[] whole() {
        return text(entries.stream().filter(e -> e.state != State.GONE).toList(), true);
    }

    /** The answer to a watch that names what has changed since its version. */
    byte[] changes(List<Entry> changed) {
        return text(changed, false);
    }

    private byte[] text(List<Entry> told, boolean full) {
        StringBuilder text = new StringBuilder(BYTES_AN_ENTRY * (told.size() + 1));
        text.append("{\"version\":")
                .append(version)
                .append(",\"full\":")
                .append(full)
                .append(",\"servers\":[");
        String comma = "\n";
        for (Entry e : told) {
            text.append(comma)
                    .append("{\"id\":\"")
                    .append(e.id)
                    .append("\",\"addr\":\"")
                    .append(e.address)
                    .append("\",\"zone\":\"")
                    .append(e.zone)
                    .append("\",\"kind\":\"m2\",\"cell\":")
                    .append(e.cell)
                    .append(",\"state\":\"")
                    .append(e.state.name().toLowerCase(Locale.ROOT))
                    .append("\",\"weight\":1.0,\"started_ms\":")
                    .append(e.startedMs)
                    .append('}');
            comma = ",\n";
        }
        return text.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }
}
