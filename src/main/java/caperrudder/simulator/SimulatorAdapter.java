package caperrudder.simulator;

import caperrudder.api.AttemptResult;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.policy.TrafficPolicy;
import caperrudder.settings.FieldException;
import caperrudder.settings.Fields;
import caperrudder.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Hosts many instances of the decision module on the simulator's wire and translates lines both ways. */
final class SimulatorAdapter {
    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, TrafficPolicy> brains = new TreeMap<>();
    private final Map<Integer, List<Host>> catalogs = new TreeMap<>();
    private final long[] lastAt = {Long.MIN_VALUE};
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String line = "";

    SimulatorAdapter(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Answers batches until the input ends; a {@link FieldException} names the line and what is wrong with it. */
    void run() throws IOException {
        try {
            while (next()) {
                if (line.isEmpty()) {
                    continue;
                }
                batch();
            }
        } catch (FieldException fault) {
            throw new FieldException("line " + lineNumber + ": " + fault.getMessage());
        }
    }

    private boolean next() throws IOException {
        line = in.readLine();
        lineNumber++;
        return line != null;
    }

    private static String nameOf(String line) {
        int space = line.indexOf(' ');
        return space < 0 ? line : line.substring(0, space);
    }

    private Fields fields() {
        int space = line.indexOf(' ');
        return new Fields(space < 0 ? "" : line.substring(space + 1));
    }

    private void batch() throws IOException {
        if (!nameOf(line).equals("BEGIN_BATCH")) {
            throw new FieldException("expected BEGIN_BATCH, found '" + nameOf(line) + "'");
        }
        Fields head = fields();
        double now = head.number("moment_ms");
        long turn = head.whole("turn");
        lastAt[0] = Long.MIN_VALUE;
        reply.setLength(0);
        long target = Long.MIN_VALUE;
        while (true) {
            if (!next()) {
                throw new FieldException("input ended inside a batch");
            }
            String name = nameOf(line);
            if (name.equals("COMMIT")) {
                break;
            }
            if (name.equals("TARGET_INSTANCE")) {
                target = fields().whole("gateway_id");
            } else if (name.equals("CATALOG")) {
                catalog(fields());
            } else {
                event(now, target, name);
            }
        }
        reply.append("YIELD turn=").append(turn).append('\n');
        out.append(reply);
        out.flush();
    }

    private void event(double now, long target, String name) {
        if (target == Long.MIN_VALUE) {
            throw new FieldException("'" + name + "' before any TARGET_INSTANCE");
        }
        Fields f = fields();
        if (name.equals("ATTACH")) {
            TrafficPolicy brain = new TrafficPolicy(new ActionWriter(reply, target, lastAt));
            brains.put(target, brain);
            brain.start(now, SettingsReader.read(f));
            return;
        }
        if (name.equals("KILL")) {
            brains.remove(target);
            return;
        }
        TrafficPolicy brain = brains.get(target);
        if (brain == null) {
            throw new FieldException("'" + name + "' for an instance that was not started: " + target);
        }
        switch (name) {
            case "MEMBERSHIP" -> membership(now, brain, f);
            case "DEMAND" -> brain.requestReceived(
                    now,
                    new Request(
                            f.text("op_id"),
                            f.number("valid_until_ms"),
                            now,
                            f.flag("retry", false),
                            f.text("lane"),
                            f.whole("holder"),
                            f.text("contract"),
                            f.number("size_units"),
                            f.count("from_no", 0),
                            f.count("doors", 1)));
            case "FLOWING" -> brain.responseStarted(now, f.text("op_id"), f.count("hop"));
            case "COMPLETED" -> brain.attemptEnded(
                    now,
                    new AttemptResult(
                            f.text("op_id"),
                            f.count("hop"),
                            f.text("host"),
                            outcome(f.text("reason")),
                            f.number("cost_time_ms", 0),
                            f.flag("terminal", false),
                            f.count("use_pct", 0),
                            f.number("cost", 0),
                            f.row("health_info")));
            case "VANISHED" -> brain.clientDisconnected(now, f.text("op_id"));
            case "DUE" -> brain.timerFired(now, f.text("cookie"));
            case "PROBE_RESULT" -> brain.healthCheckEnded(
                    now, f.text("host"), outcome(f.text("reason")), f.number("cost_time_ms", 0), f.row("health_info"));
            case "FROM_PEER" -> brain.peerMessageReceived(now, f.count("neighbour"), f.bytes("contents"));
            case "COUNTED" -> brain.counterUpdated(
                    now, f.text("counter"), outcome(f.text("reason")), f.number("reading", 0));
            default -> throw new FieldException("unknown message '" + name + "'");
        }
    }

    private void membership(double now, TrafficPolicy brain, Fields f) {
        String how = f.text("how");
        HostListKind kind =
                switch (how) {
                    case "D" -> HostListKind.CHANGES;
                    case "F" -> HostListKind.FULL;
                    case "C" -> HostListKind.CACHED;
                    case "X" -> HostListKind.FAILED;
                    default -> throw new FieldException("unknown list kind '" + how + "'");
                };
        List<Host> hosts = List.of();
        if (kind != HostListKind.FAILED) {
            int page = f.count("page");
            hosts = catalogs.get(page);
            if (hosts == null) {
                throw new FieldException("no CATALOG with page " + page);
            }
        }
        brain.hostsUpdated(now, kind, hosts);
    }

    private void catalog(Fields f) throws IOException {
        int page = f.count("page");
        int members = f.count("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            if (!next() || !nameOf(line).equals("HOST")) {
                throw new FieldException("expected " + members + " HOST lines, found " + i);
            }
            Fields h = fields();
            hosts.add(new Host(
                    h.text("host"),
                    h.text("failure_domain", ""),
                    h.text("shape", ""),
                    h.count("cohort", 0),
                    state(h.text("mode")),
                    h.number("rating", 1),
                    h.number("born_ms", 0)));
        }
        catalogs.put(page, List.copyOf(hosts));
    }

    private static HostState state(String word) {
        return switch (word) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new FieldException("unknown host mode '" + word + "'");
        };
    }

    private static Outcome outcome(String word) {
        return switch (word) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.REJECTED;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NOT_SENT;
            default -> throw new FieldException("unknown reason '" + word + "'");
        };
    }
}
