package caperrudder.server.downstream;

/** How far the gateway's graceful shutdown has come; asked on the event loop. */
public interface DrainStatus {
    /** Whether nobody will serve at this address soon; health checks then fail. */
    boolean isLeavingAddress();

    /** Whether each connection ends with its next response. */
    boolean isClosingConnections();
}
