package caperrudder.simulator;

import caperrudder.policy.TrafficPolicy;
import caperrudder.settings.FieldException;
import caperrudder.settings.FieldValues;
import caperrudder.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs any number of policy instances for the simulator. It reads a batch of messages, delivers each message to its
 * instance and replies with the actions of all instances. Not thread-safe: one thread reads, runs all policies and
 * writes.
 */
final class SimulatorAdapter {
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final MessageReader reader;
    private final Writer output;
    private final BatchReply reply = new BatchReply();
    private final HostCatalog catalog = new HostCatalog();
    private final EventTranslator translator = new EventTranslator(catalog);
    private final Map<Long, TrafficPolicy> policies = new HashMap<>();

    SimulatorAdapter(BufferedReader input, Writer output) {
        this.reader = new MessageReader(input);
        this.output = output;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws WireFormatException for the first malformed line
     */
    void run() throws IOException {
        try {
            while (reader.readNextLine()) {
                if (!reader.isLineEmpty()) {
                    processBatch();
                }
            }
        } catch (FieldException e) {
            throw new WireFormatException(reader.lineNumber(), e);
        }
    }

    private void processBatch() throws IOException {
        if (!reader.messageName().equals(SimulatorProtocol.BEGIN_BATCH)) {
            throw reader.malformedLine("expected BEGIN_BATCH, found '" + reader.messageName() + "'");
        }
        FieldValues header = reader.fields();
        double nowMs = header.getDouble("moment_ms");
        long turn = header.getLong(SimulatorProtocol.TURN);
        reply.begin();
        processMessages(nowMs);
        output.append(reply.finish(turn));
        output.flush();
    }

    private void processMessages(double nowMs) throws IOException {
        long instance = NO_INSTANCE;
        while (true) {
            if (!reader.readNextLine()) {
                throw reader.malformedLine("input ended inside a batch");
            }
            String name = reader.messageName();
            switch (name) {
                case SimulatorProtocol.COMMIT -> {
                    return;
                }
                case SimulatorProtocol.TARGET_INSTANCE -> instance =
                        reader.fields().getLong(SimulatorProtocol.GATEWAY_ID);
                case SimulatorProtocol.CATALOG -> catalog.readPage(reader);
                default -> processMessage(nowMs, instance, name);
            }
        }
    }

    private void processMessage(double nowMs, long instance, String name) {
        if (instance == NO_INSTANCE) {
            throw reader.malformedLine("'" + name + "' before any TARGET_INSTANCE");
        }
        FieldValues fields = reader.fields();
        switch (name) {
            case SimulatorProtocol.ATTACH -> attach(nowMs, instance, fields);
            case SimulatorProtocol.KILL -> policies.remove(instance);
            default -> deliver(nowMs, instance, name, fields);
        }
    }

    private void attach(double nowMs, long instance, FieldValues fields) {
        TrafficPolicy policy = new TrafficPolicy(new ActionWriter(reply, instance));
        policies.put(instance, policy);
        policy.start(nowMs, SettingsReader.read(fields));
    }

    private void deliver(double nowMs, long instance, String name, FieldValues fields) {
        TrafficPolicy policy = policies.get(instance);
        if (policy == null) {
            throw reader.malformedLine("'" + name + "' for an instance that was not started: " + instance);
        }
        if (!translator.deliver(policy, nowMs, name, fields)) {
            throw reader.malformedLine("unknown message '" + name + "'");
        }
    }
}
