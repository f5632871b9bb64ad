package caperrudder.scale;

import caperrudder.api.PolicyActions;
import java.util.Arrays;

/**
 * The actions of one event, carried out after it as the real gateway does. They lie in arrays that are used again:
 * recording an action allocates nothing, so that what is measured is the policy's own. Not thread-safe.
 */
final class RecordedActions implements PolicyActions {
    private enum Kind {
        SEND_ATTEMPT,
        CANCEL_ATTEMPT,
        REJECT,
        FAIL,
        START_TIMER,
        START_HEALTH_CHECK,
        SEND_TO_PEER,
        ADD_TO_COUNTER
    }

    private static final int INITIAL_CAPACITY = 64;

    private Kind[] kinds = new Kind[INITIAL_CAPACITY];
    private String[] names = new String[INITIAL_CAPACITY]; // a request, token or counter
    private String[] hosts = new String[INITIAL_CAPACITY];
    private int[] numbers = new int[INITIAL_CAPACITY]; // an attempt or a peer
    private double[] amounts = new double[INITIAL_CAPACITY];
    private double[] timesMs = new double[INITIAL_CAPACITY];
    private byte[][] messages = new byte[INITIAL_CAPACITY][];
    private int size;

    private void record(Kind kind, String name, String host, int number, double amount, double timeMs, byte[] message) {
        if (size == kinds.length) {
            grow(2 * size);
        }
        kinds[size] = kind;
        names[size] = name;
        hosts[size] = host;
        numbers[size] = number;
        amounts[size] = amount;
        timesMs[size] = timeMs;
        messages[size++] = message;
    }

    private void grow(int capacity) {
        kinds = Arrays.copyOf(kinds, capacity);
        names = Arrays.copyOf(names, capacity);
        hosts = Arrays.copyOf(hosts, capacity);
        numbers = Arrays.copyOf(numbers, capacity);
        amounts = Arrays.copyOf(amounts, capacity);
        timesMs = Arrays.copyOf(timesMs, capacity);
        messages = Arrays.copyOf(messages, capacity);
    }

    /** Carries out all actions in their order and forgets them; none of them may record an action at once. */
    void replay(PolicyActions environment) {
        for (int i = 0; i < size; i++) {
            carryOut(i, environment);
            names[i] = null;
            hosts[i] = null;
            messages[i] = null;
        }
        size = 0;
    }

    private void carryOut(int i, PolicyActions environment) {
        switch (kinds[i]) {
            case SEND_ATTEMPT -> environment.sendAttempt(names[i], hosts[i], timesMs[i]);
            case CANCEL_ATTEMPT -> environment.cancelAttempt(names[i], numbers[i]);
            case REJECT -> environment.reject(names[i], timesMs[i]);
            case FAIL -> environment.fail(names[i]);
            case START_TIMER -> environment.startTimer(timesMs[i], names[i]);
            case START_HEALTH_CHECK -> environment.startHealthCheck(hosts[i]);
            case SEND_TO_PEER -> environment.sendToPeer(numbers[i], messages[i]);
            case ADD_TO_COUNTER -> environment.addToCounter(names[i], amounts[i], timesMs[i]);
        }
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        record(Kind.SEND_ATTEMPT, id, host, 0, 0, timeoutMs, null);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        record(Kind.CANCEL_ATTEMPT, id, null, attempt, 0, 0, null);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        record(Kind.REJECT, id, null, 0, 0, retryAfterMs, null);
    }

    @Override
    public void fail(String id) {
        record(Kind.FAIL, id, null, 0, 0, 0, null);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        record(Kind.START_TIMER, token, null, 0, 0, delayMs, null);
    }

    @Override
    public void startHealthCheck(String host) {
        record(Kind.START_HEALTH_CHECK, null, host, 0, 0, 0, null);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        record(Kind.SEND_TO_PEER, null, null, peer, 0, 0, data);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        record(Kind.ADD_TO_COUNTER, counter, null, 0, amount, lifetimeMs, null);
    }

    /** Needs nothing: the simulated discovery sends its lists unasked. */
    @Override
    public void subscribeToHosts() {}
}
