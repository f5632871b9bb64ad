package caperrudder.simulator;

import caperrudder.api.AttemptResult;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Request;
import caperrudder.settings.FieldException;
import caperrudder.settings.FieldValues;
import java.util.List;

/** Translates messages of the simulator into calls of {@link PolicyEvents}. */
final class EventTranslator {
    private final HostCatalog catalog;

    EventTranslator(HostCatalog catalog) {
        this.catalog = catalog;
    }

    /**
     * Delivers a message to a policy.
     *
     * @param nowMs the time of the batch, in milliseconds
     * @param name the name of the message
     * @return false if the message is unknown
     * @throws FieldException if a field is missing or has an invalid value
     */
    boolean deliver(PolicyEvents policy, double nowMs, String name, FieldValues fields) {
        switch (name) {
            case SimulatorProtocol.MEMBERSHIP -> hostsUpdated(policy, nowMs, fields);
            case SimulatorProtocol.DEMAND -> policy.requestReceived(nowMs, request(nowMs, fields));
            case SimulatorProtocol.FLOWING -> policy.responseStarted(
                    nowMs, fields.getString(SimulatorProtocol.OPERATION_ID), fields.getInt(SimulatorProtocol.ATTEMPT));
            case SimulatorProtocol.COMPLETED -> policy.attemptEnded(nowMs, attemptResult(fields));
            case SimulatorProtocol.VANISHED -> policy.clientDisconnected(
                    nowMs, fields.getString(SimulatorProtocol.OPERATION_ID));
            case SimulatorProtocol.DUE -> policy.timerFired(nowMs, fields.getString(SimulatorProtocol.TIMER_TOKEN));
            case SimulatorProtocol.PROBE_RESULT -> policy.healthCheckEnded(
                    nowMs,
                    fields.getString(SimulatorProtocol.HOST_ID),
                    outcome(fields),
                    fields.getDouble(SimulatorProtocol.LATENCY_MS, 0),
                    fields.getDoubles(SimulatorProtocol.LOAD_REPORT));
            case SimulatorProtocol.FROM_PEER -> policy.peerMessageReceived(
                    nowMs, fields.getInt("neighbour"), fields.getBytes(SimulatorProtocol.PEER_MESSAGE));
            case SimulatorProtocol.COUNTED -> policy.counterCallEnded(
                    nowMs,
                    fields.getString(SimulatorProtocol.COUNTER),
                    outcome(fields),
                    fields.getDouble("reading", 0));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void hostsUpdated(PolicyEvents policy, double nowMs, FieldValues fields) {
        HostListKind kind = hostListKind(fields);
        List<Host> hosts = kind == HostListKind.FAILED
                ? List.of()
                : catalog.hostsOfPage(fields.getInt(SimulatorProtocol.HOST_PAGE));
        policy.hostsUpdated(nowMs, kind, hosts);
    }

    private static Request request(double nowMs, FieldValues fields) {
        return new Request(
                fields.getString(SimulatorProtocol.OPERATION_ID),
                fields.getDouble("valid_until_ms"),
                nowMs,
                fields.getBoolean("retry", false),
                fields.getString("lane"),
                fields.getLong("holder"),
                fields.getString("contract"),
                fields.getDouble("size_units"),
                fields.getInt("from_no", 0),
                fields.getInt("doors", 1));
    }

    private static AttemptResult attemptResult(FieldValues fields) {
        return new AttemptResult(
                fields.getString(SimulatorProtocol.OPERATION_ID),
                fields.getInt(SimulatorProtocol.ATTEMPT),
                fields.getString(SimulatorProtocol.HOST_ID),
                outcome(fields),
                fields.getDouble(SimulatorProtocol.LATENCY_MS, 0),
                fields.getBoolean("terminal", false),
                fields.getInt("use_pct", 0),
                fields.getDouble("cost", 0),
                fields.getDoubles(SimulatorProtocol.LOAD_REPORT));
    }

    private static HostListKind hostListKind(FieldValues fields) {
        String kind = fields.getString("how");
        return switch (kind) {
            case "D" -> HostListKind.CHANGES;
            case "F" -> HostListKind.FULL;
            case "C" -> HostListKind.CACHED;
            case "X" -> HostListKind.FAILED;
            default -> throw new FieldException("how", "unknown list kind '" + kind + "'");
        };
    }

    private static Outcome outcome(FieldValues fields) {
        String reason = fields.getString(SimulatorProtocol.REASON);
        return switch (reason) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.REJECTED;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NOT_SENT;
            default -> throw new FieldException(SimulatorProtocol.REASON, "unknown reason '" + reason + "'");
        };
    }
}
