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

/** The pages of hosts that the simulator has sent, for all instances; a later page takes the place of an earlier one. */
final class HostCatalog {
    private final Map<Integer, List<Host>> pages = new HashMap<>();

    /** Reads the page whose head is the reader's current line, up to its last host. */
    void readPage(MessageReader reader) throws IOException {
        Fields head = reader.fields();
        int page = head.integer(SimulatorProtocol.PAGE);
        int size = head.integer("members");
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
     * The hosts of a page.
     *
     * @throws FieldException where no such page has come
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
