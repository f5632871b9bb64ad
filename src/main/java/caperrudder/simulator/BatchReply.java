package caperrudder.simulator;

/** The reply to one batch: lines of actions, each under the instance that it is of. Used again for each batch. */
final class BatchReply {
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final StringBuilder text = new StringBuilder();
    private long currentInstance = NO_INSTANCE;

    /** Forgets the former batch. */
    void begin() {
        text.setLength(0);
        currentInstance = NO_INSTANCE;
    }

    /** Begins a line of this instance, after the line that names it where the last one was another's. */
    BatchReply action(long instance, String name) {
        if (currentInstance != instance) {
            text.append(SimulatorProtocol.AT);
            field(SimulatorProtocol.GATEWAY_ID, instance).endLine();
            currentInstance = instance;
        }
        text.append(name);
        return this;
    }

    BatchReply field(String name, String value) {
        text.append(SimulatorProtocol.FIELD_SEPARATOR)
                .append(name)
                .append(SimulatorProtocol.VALUE_SEPARATOR)
                .append(value);
        return this;
    }

    BatchReply field(String name, long value) {
        text.append(SimulatorProtocol.FIELD_SEPARATOR)
                .append(name)
                .append(SimulatorProtocol.VALUE_SEPARATOR)
                .append(value);
        return this;
    }

    void endLine() {
        text.append('\n');
    }

    /** Ends the reply and gives all of it; valid until the next batch begins. */
    CharSequence end(long turn) {
        text.append(SimulatorProtocol.YIELD);
        field(SimulatorProtocol.TURN, turn).endLine();
        return text;
    }
}
