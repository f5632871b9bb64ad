package caperrudder.simulator;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.settings.FieldException;
import caperrudder.settings.Fields;
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
        Fields header = reader.fields();
        int page = header.integer(SimulatorProtocol.PAGE);
        int size = header.integer("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (!reader.next() || !reader.name().equals(SimulatorProtocol.HOST)) {
                throw reader.error("expected " + size + " HOST lines, found " + i);
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
    List<Host> page(int page) {
        List<Host> hosts = pages.get(page);
        if (hosts == null) {
            throw new FieldException(SimulatorProtocol.PAGE, "no CATALOG with page " + page);
        }
        return hosts;
    }

    private static Host host(Fields fields) {
        return new Host(
                fields.text(SimulatorProtocol.HOST_ID),
                fields.text("failure_domain", ""),
                fields.text("shape", ""),
                fields.integer("cohort", 0),
                state(fields),
                fields.number("rating", 1),
                fields.number("born_ms", 0));
    }

    private static HostState state(Fields fields) {
        String mode = fields.text("mode");
        return switch (mode) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new FieldException("mode", "unknown host mode '" + mode + "'");
        };
    }
}
