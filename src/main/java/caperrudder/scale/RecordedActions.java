package caperrudder.scale;

import caperrudder.api.PolicyActions;
import java.util.Arrays;

/**
 * What a module did during one event, to be carried out after it, as the real gateway does. Kept in arrays that are
 * used again: noting an action allocates nothing, so that what is measured is the module's own.
 */
final class RecordedActions implements PolicyActions {
    enum Kind {
        SEND,
        CANCEL,
        REFUSE,
        FAIL,
        TIMER,
        PROBE,
        TELL,
        COUNT
    }

    /** Is told each action in order; {@code name} is a request, token or counter, what a kind has not is 0 or null. */
    interface Carrier {
        void carryOut(Kind kind, String name, String host, int number, double delayMs, byte[] message);
    }

    private static final int ROOM = 64;
    private Kind[] kinds = new Kind[ROOM];
    private String[] names = new String[ROOM];
    private String[] hosts = new String[ROOM];
    private int[] numbers = new int[ROOM];
    private double[] delaysMs = new double[ROOM];
    private byte[][] messages = new byte[ROOM][];
    private int size;

    private void note(Kind kind, String name, String host, int number, double delayMs, byte[] message) {
        if (size == kinds.length) {
            kinds = Arrays.copyOf(kinds, 2 * size);
            names = Arrays.copyOf(names, 2 * size);
            hosts = Arrays.copyOf(hosts, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            delaysMs = Arrays.copyOf(delaysMs, 2 * size);
            messages = Arrays.copyOf(messages, 2 * size);
        }
        kinds[size] = kind;
        names[size] = name;
        hosts[size] = host;
        numbers[size] = number;
        delaysMs[size] = delayMs;
        messages[size++] = message;
    }

    /** Empties it; nothing that is carried out may tell the module at once. */
    void empty(Carrier carrier) {
        for (int i = 0; i < size; i++) {
            carrier.carryOut(kinds[i], names[i], hosts[i], numbers[i], delaysMs[i], messages[i]);
            names[i] = hosts[i] = null;
            messages[i] = null;
        }
        size = 0;
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        note(Kind.SEND, id, host, 0, timeoutMs, null);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        note(Kind.CANCEL, id, null, attempt, 0, null);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        note(Kind.REFUSE, id, null, 0, retryAfterMs, null);
    }

    @Override
    public void fail(String id) {
        note(Kind.FAIL, id, null, 0, 0, null);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        note(Kind.TIMER, token, null, 0, delayMs, null);
    }

    @Override
    public void startHealthCheck(String host) {
        note(Kind.PROBE, null, host, 0, 0, null);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        note(Kind.TELL, null, null, peer, 0, data);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        note(Kind.COUNT, counter, null, 0, 0, null);
    }

    /** Discovery is always watched. */
    @Override
    public void subscribeToHosts() {}
}
