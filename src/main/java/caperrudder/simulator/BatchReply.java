package caperrudder.simulator;

/**
 * Builds the reply to a batch, with one action per line. An {@code AT} line names the instance of the actions after it.
 * Reused for every batch. Not thread-safe.
 */
final class BatchReply {
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final StringBuilder text = new StringBuilder();
    private long currentInstance = NO_INSTANCE;

    /** Starts an empty reply. */
    void begin() {
        text.setLength(0);
        currentInstance = NO_INSTANCE;
    }

    /** Starts the line of an action, preceded by an {@code AT} line if the last action was of another instance. */
    BatchReply beginAction(long instance, String name) {
        if (currentInstance != instance) {
            text.append(SimulatorProtocol.AT);
            field(SimulatorProtocol.GATEWAY_ID, instance).endLine();
            currentInstance = instance;
        }
        text.append(name);
        return this;
    }

    /** Appends a field to the current line. */
    BatchReply field(String name, String value) {
        text.append(SimulatorProtocol.FIELD_SEPARATOR)
                .append(name)
                .append(SimulatorProtocol.VALUE_SEPARATOR)
                .append(value);
        return this;
    }

    /** Appends a field to the current line. */
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

    /**
     * Ends the reply with its {@code YIELD} line and returns it. The result is valid until the next call of
     * {@link #begin()}.
     */
    CharSequence finish(long turn) {
        text.append(SimulatorProtocol.YIELD);
        field(SimulatorProtocol.TURN, turn).endLine();
        return text;
    }
}
