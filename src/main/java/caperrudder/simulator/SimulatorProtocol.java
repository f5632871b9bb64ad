package caperrudder.simulator;

/** Message names, field names and separators of the simulator's protocol, as WIRE defines them. */
final class SimulatorProtocol {
    /** Separates the name of a message from its fields, and the fields from each other. */
    static final char FIELD_SEPARATOR = ' ';

    /** Separates the name of a field from its value. */
    static final char VALUE_SEPARATOR = '=';

    /** The value that represents an empty array of bytes. */
    static final String EMPTY_BYTES = "-";

    // Begin, instance and end of a batch, and instance and end of its reply
    static final String BEGIN_BATCH = "BEGIN_BATCH";
    static final String TARGET_INSTANCE = "TARGET_INSTANCE";
    static final String COMMIT = "COMMIT";
    static final String AT = "AT";
    static final String YIELD = "YIELD";

    // Pages of hosts, to which MEMBERSHIP refers
    static final String CATALOG = "CATALOG";
    static final String HOST = "HOST";

    // Events for an instance
    static final String ATTACH = "ATTACH";
    static final String KILL = "KILL";
    static final String MEMBERSHIP = "MEMBERSHIP";
    static final String DEMAND = "DEMAND";
    static final String FLOWING = "FLOWING";
    static final String COMPLETED = "COMPLETED";
    static final String VANISHED = "VANISHED";
    static final String DUE = "DUE";
    static final String PROBE_RESULT = "PROBE_RESULT";
    static final String FROM_PEER = "FROM_PEER";
    static final String COUNTED = "COUNTED";

    // Actions of an instance
    static final String PLACE = "PLACE";
    static final String ABANDON = "ABANDON";
    static final String OVERLOAD_REPLY = "OVERLOAD_REPLY";
    static final String ABORT = "ABORT";
    static final String TIMER = "TIMER";
    static final String HEALTH_CHECK = "HEALTH_CHECK";
    static final String NOTIFY = "NOTIFY";
    static final String ADD_AND_GET = "ADD_AND_GET";
    static final String KEEP_INFORMED = "KEEP_INFORMED";

    // Fields that occur in several messages
    static final String GATEWAY_ID = "gateway_id";
    static final String TURN = "turn";
    static final String HOST_PAGE = "page";
    static final String OPERATION_ID = "op_id";
    static final String ATTEMPT = "hop";
    static final String HOST_ID = "host";
    static final String REASON = "reason";
    static final String LATENCY_MS = "cost_time_ms";
    static final String LOAD_REPORT = "health_info";
    static final String TIMER_TOKEN = "cookie";
    static final String PEER_MESSAGE = "contents";
    static final String COUNTER = "counter";

    private SimulatorProtocol() {}
}
