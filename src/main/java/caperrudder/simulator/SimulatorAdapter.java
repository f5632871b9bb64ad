package caperrudder.simulator;

import caperrudder.policy.TrafficPolicy;
import caperrudder.settings.FieldException;
import caperrudder.settings.Fields;
import caperrudder.settings.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs any number of policy instances on the simulator's wire: reads a batch, hands each message to the instance that
 * it is for and answers with the actions of all. Not thread-safe; one thread reads, decides and writes.
 */
final class SimulatorAdapter {
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final MessageReader reader;
    private final Writer out;
    private final BatchReply reply = new BatchReply();
    private final HostCatalog catalog = new HostCatalog();
    private final EventTranslator events = new EventTranslator(catalog);
    private final Map<Long, TrafficPolicy> policies = new HashMap<>();

    SimulatorAdapter(BufferedReader in, Writer out) {
        this.reader = new MessageReader(in);
        this.out = out;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws WireFormatException for the first line that can't be read
     */
    void run() throws IOException {
        try {
            while (reader.next()) {
                if (!reader.isBlank()) {
                    answerBatch();
                }
            }
        } catch (FieldException e) {
            throw new WireFormatException(reader.lineNumber(), e);
        }
    }

    private void answerBatch() throws IOException {
        if (!reader.name().equals(SimulatorProtocol.BEGIN_BATCH)) {
            throw reader.error("expected BEGIN_BATCH, found '" + reader.name() + "'");
        }
        Fields head = reader.fields();
        double nowMs = head.number("moment_ms");
        long turn = head.wholeNumber(SimulatorProtocol.TURN);
        reply.begin();
        readMessages(nowMs);
        out.append(reply.end(turn));
        out.flush();
    }

    private void readMessages(double nowMs) throws IOException {
        long instance = NO_INSTANCE;
        while (true) {
            if (!reader.next()) {
                throw reader.error("input ended inside a batch");
            }
            String name = reader.name();
            switch (name) {
                case SimulatorProtocol.COMMIT -> {
                    return;
                }
                case SimulatorProtocol.TARGET_INSTANCE -> instance =
                        reader.fields().wholeNumber(SimulatorProtocol.GATEWAY_ID);
                case SimulatorProtocol.CATALOG -> catalog.readPage(reader);
                default -> handle(nowMs, instance, name);
            }
        }
    }

    private void handle(double nowMs, long instance, String name) {
        if (instance == NO_INSTANCE) {
            throw reader.error("'" + name + "' before any TARGET_INSTANCE");
        }
        Fields fields = reader.fields();
        switch (name) {
            case SimulatorProtocol.ATTACH -> attach(nowMs, instance, fields);
            case SimulatorProtocol.KILL -> policies.remove(instance);
            default -> deliver(nowMs, instance, name, fields);
        }
    }

    private void attach(double nowMs, long instance, Fields fields) {
        TrafficPolicy policy = new TrafficPolicy(new ActionWriter(reply, instance));
        policies.put(instance, policy);
        policy.start(nowMs, SettingsReader.read(fields));
    }

    private void deliver(double nowMs, long instance, String name, Fields fields) {
        TrafficPolicy policy = policies.get(instance);
        if (policy == null) {
            throw reader.error("'" + name + "' for an instance that was not started: " + instance);
        }
        if (!events.deliver(policy, nowMs, name, fields)) {
            throw reader.error("unknown message '" + name + "'");
        }
    }
}
