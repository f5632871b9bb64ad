package caperrudder.simulator;

import caperrudder.api.AttemptResult;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Request;
import caperrudder.settings.FieldException;
import caperrudder.settings.Fields;
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
    boolean deliver(PolicyEvents policy, double nowMs, String name, Fields fields) {
        switch (name) {
            case SimulatorProtocol.MEMBERSHIP -> hostsUpdated(policy, nowMs, fields);
            case SimulatorProtocol.DEMAND -> policy.requestReceived(nowMs, request(nowMs, fields));
            case SimulatorProtocol.FLOWING -> policy.responseStarted(
                    nowMs, fields.text(SimulatorProtocol.OPERATION_ID), fields.integer(SimulatorProtocol.ATTEMPT));
            case SimulatorProtocol.COMPLETED -> policy.attemptEnded(nowMs, attemptResult(fields));
            case SimulatorProtocol.VANISHED -> policy.clientDisconnected(
                    nowMs, fields.text(SimulatorProtocol.OPERATION_ID));
            case SimulatorProtocol.DUE -> policy.timerFired(nowMs, fields.text(SimulatorProtocol.COOKIE));
            case SimulatorProtocol.PROBE_RESULT -> policy.healthCheckEnded(
                    nowMs,
                    fields.text(SimulatorProtocol.HOST_ID),
                    outcome(fields),
                    fields.number(SimulatorProtocol.LATENCY_MS, 0),
                    fields.numbers(SimulatorProtocol.LOAD_REPORT));
            case SimulatorProtocol.FROM_PEER -> policy.peerMessageReceived(
                    nowMs, fields.integer("neighbour"), fields.bytes(SimulatorProtocol.CONTENTS));
            case SimulatorProtocol.COUNTED -> policy.counterUpdated(
                    nowMs, fields.text(SimulatorProtocol.COUNTER), outcome(fields), fields.number("reading", 0));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void hostsUpdated(PolicyEvents policy, double nowMs, Fields fields) {
        HostListKind kind = hostListKind(fields);
        List<Host> hosts =
                kind == HostListKind.FAILED ? List.of() : catalog.page(fields.integer(SimulatorProtocol.PAGE));
        policy.hostsUpdated(nowMs, kind, hosts);
    }

    private static Request request(double nowMs, Fields fields) {
        return new Request(
                fields.text(SimulatorProtocol.OPERATION_ID),
                fields.number("valid_until_ms"),
                nowMs,
                fields.flag("retry", false),
                fields.text("lane"),
                fields.wholeNumber("holder"),
                fields.text("contract"),
                fields.number("size_units"),
                fields.integer("from_no", 0),
                fields.integer("doors", 1));
    }

    private static AttemptResult attemptResult(Fields fields) {
        return new AttemptResult(
                fields.text(SimulatorProtocol.OPERATION_ID),
                fields.integer(SimulatorProtocol.ATTEMPT),
                fields.text(SimulatorProtocol.HOST_ID),
                outcome(fields),
                fields.number(SimulatorProtocol.LATENCY_MS, 0),
                fields.flag("terminal", false),
                fields.integer("use_pct", 0),
                fields.number("cost", 0),
                fields.numbers(SimulatorProtocol.LOAD_REPORT));
    }

    private static HostListKind hostListKind(Fields fields) {
        String kind = fields.text("how");
        return switch (kind) {
            case "D" -> HostListKind.CHANGES;
            case "F" -> HostListKind.FULL;
            case "C" -> HostListKind.CACHED;
            case "X" -> HostListKind.FAILED;
            default -> throw new FieldException("how", "unknown list kind '" + kind + "'");
        };
    }

    private static Outcome outcome(Fields fields) {
        String reason = fields.text(SimulatorProtocol.REASON);
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
