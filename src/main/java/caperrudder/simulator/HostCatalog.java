package caperrudder.simulator;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.settings.FieldException;
import caperrudder.settings.FieldValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the pages of hosts that the simulator has sent, by page number. All instances share the pages. A page replaces
 * an earlier one of the same number.
 */
final class HostCatalog {
    private final Map<Integer, List<Host>> pages = new HashMap<>();

    /** Reads a page from the reader, whose current line must be its {@code CATALOG} line, up to its last host. */
    void readPage(MessageReader reader) throws IOException {
        FieldValues header = reader.fields();
        int page = header.getInt(SimulatorProtocol.HOST_PAGE);
        int size = header.getInt("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (!reader.readNextLine() || !reader.messageName().equals(SimulatorProtocol.HOST)) {
                throw reader.malformedLine("expected " + size + " HOST lines, found " + i);
            }
            hosts.add(host(reader.fields()));
        }
        pages.put(page, List.copyOf(hosts));
    }

    /**
     * Returns the hosts of a page.
     *
     * @throws FieldException if the page has not been sent
     */
    List<Host> hostsOfPage(int page) {
        List<Host> hosts = pages.get(page);
        if (hosts == null) {
            throw new FieldException(SimulatorProtocol.HOST_PAGE, "no CATALOG with page " + page);
        }
        return hosts;
    }

    private static Host host(FieldValues fields) {
        return new Host(
                fields.getString(SimulatorProtocol.HOST_ID),
                fields.getString("failure_domain", ""),
                fields.getString("shape", ""),
                fields.getInt("cohort", 0),
                state(fields),
                fields.getDouble("rating", 1),
                fields.getDouble("born_ms", 0));
    }

    private static HostState state(FieldValues fields) {
        String mode = fields.getString("mode");
        return switch (mode) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new FieldException("mode", "unknown host mode '" + mode + "'");
        };
    }
}
