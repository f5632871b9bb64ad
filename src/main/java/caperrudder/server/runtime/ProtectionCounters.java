package caperrudder.server.runtime;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * How often a gateway refused a request or closed a connection to protect itself, its hosts and its other clients,
 * counted by reason from 0 at the start of the process. On the event loop only.
 */
public final class ProtectionCounters {
    /** What was done. */
    public enum Action {
        /** A request got an error in place of a host's response; its connection may serve on. */
        REFUSED,
        /** A connection was closed without a further response. */
        CLOSED
    }

    /** Why it was done; docs/on-call.md tells what each one means for the staff. */
    public enum Reason {
        /** As many requests are open as the configuration allows. */
        OPEN_REQUESTS(Action.REFUSED),
        /** The client sent more ahead of its turn than is kept. */
        PIPELINED(Action.REFUSED),
        /** The request's head is longer than allowed. */
        HEAD_SIZE(Action.REFUSED),
        /** The heads of all requests hold as much memory as they may. */
        HEAD_MEMORY(Action.REFUSED),
        /** So much is held in buffers that no further body is read. */
        BUFFER_MEMORY(Action.REFUSED),
        /** The request's body is longer than allowed. */
        BODY_SIZE(Action.REFUSED),
        /** The request came too slowly, or its end did not come. */
        SLOW_REQUEST(Action.REFUSED),
        /** The host took too little of a long request's body for an answer within the client's time. */
        UPLOAD_STALLED(Action.REFUSED),
        /** No whole request came on a new connection. */
        SILENT(Action.CLOSED),
        /** The client took nothing of a response for too long. */
        STALLED_RESPONSE(Action.CLOSED),
        /** There was no descriptor for a new connection, and no other connection gave way. */
        NO_DESCRIPTOR(Action.CLOSED),
        /** The connection gave way to a new one. */
        EVICTED(Action.CLOSED),
        /** Reading or writing the connection failed. */
        CONNECTION_ERROR(Action.CLOSED);

        private final Action action;

        Reason(Action action) {
            this.action = action;
        }

        /** What is done for this reason. */
        public Action action() {
            return action;
        }

        /** The reason in metrics: lower case, with underscores. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

    /** Begins with every reason at 0. */
    public ProtectionCounters() {
        Arrays.stream(Reason.values()).forEach(reason -> counts.put(reason, 0L));
    }

    /** It was done once more for this reason. */
    public void count(Reason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** A copy of all counts, with every reason in it. */
    public Map<Reason, Long> counts() {
        return new EnumMap<>(counts);
    }
}
