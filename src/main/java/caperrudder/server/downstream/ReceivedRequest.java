package caperrudder.server.downstream;

/** A request that was handed over, as its connection sees it until it has its response; on the event loop. */
public interface ReceivedRequest {
    /** The last byte has come of a request that was handed over before its end. */
    void completed();

    /** Its client is gone, or the rest of the request will not come: no response can reach it. */
    void clientDisconnected();
}
