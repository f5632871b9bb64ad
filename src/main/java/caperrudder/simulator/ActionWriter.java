package caperrudder.simulator;

import caperrudder.api.PolicyActions;
import java.util.HexFormat;

/** Writes the actions of one policy instance as lines of the current reply. */
final class ActionWriter implements PolicyActions {
    private static final int DECIMAL_SCALE = 1000; // for three decimals

    private final BatchReply reply;
    private final long instance;

    ActionWriter(BatchReply reply, long instance) {
        this.reply = reply;
        this.instance = instance;
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        BatchReply line = line(SimulatorProtocol.PLACE)
                .field(SimulatorProtocol.OPERATION_ID, id)
                .field(SimulatorProtocol.HOST_ID, host);
        if (timeoutMs > 0) {
            line.field("limit_ms", formatDecimal(timeoutMs));
        }
        line.endLine();
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        line(SimulatorProtocol.ABANDON)
                .field(SimulatorProtocol.OPERATION_ID, id)
                .field(SimulatorProtocol.ATTEMPT, attempt)
                .endLine();
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        BatchReply line = line(SimulatorProtocol.OVERLOAD_REPLY).field(SimulatorProtocol.OPERATION_ID, id);
        if (retryAfterMs > 0) {
            line.field("wait_ms", formatDecimal(retryAfterMs));
        }
        line.endLine();
    }

    @Override
    public void fail(String id) {
        line(SimulatorProtocol.ABORT).field(SimulatorProtocol.OPERATION_ID, id).endLine();
    }

    @Override
    public void startTimer(double delayMs, String token) {
        line(SimulatorProtocol.TIMER)
                .field("in_ms", formatDecimal(delayMs))
                .field(SimulatorProtocol.TIMER_TOKEN, token)
                .endLine();
    }

    @Override
    public void startHealthCheck(String host) {
        line(SimulatorProtocol.HEALTH_CHECK)
                .field(SimulatorProtocol.HOST_ID, host)
                .endLine();
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        line(SimulatorProtocol.NOTIFY)
                .field("dest", peer)
                .field(SimulatorProtocol.PEER_MESSAGE, formatHex(data))
                .endLine();
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        line(SimulatorProtocol.ADD_AND_GET)
                .field(SimulatorProtocol.COUNTER, counter)
                .field("by", formatDecimal(amount))
                .field("lifetime_ms", formatDecimal(lifetimeMs))
                .endLine();
    }

    @Override
    public void subscribeToHosts() {
        line(SimulatorProtocol.KEEP_INFORMED).field("want", 1).endLine();
    }

    private BatchReply line(String name) {
        return reply.beginAction(instance, name);
    }

    private static String formatHex(byte[] data) {
        return data.length == 0 ? SimulatorProtocol.EMPTY_BYTES : HexFormat.of().formatHex(data);
    }

    /** Formats a number with three decimals, because the simulator counts microseconds, and without an exponent. */
    private static String formatDecimal(double value) {
        long scaled = Math.round(value * DECIMAL_SCALE);
        String sign = scaled < 0 ? "-" : "";
        long magnitude = Math.abs(scaled);
        String fraction =
                String.valueOf(DECIMAL_SCALE + magnitude % DECIMAL_SCALE).substring(1);
        return sign + magnitude / DECIMAL_SCALE + '.' + fraction;
    }
}
