package caperrudder.server.downstream;

import caperrudder.server.http.HeadMemory;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.ProtectionCounters.Reason;

/** What all client connections of one gateway share. */
record ConnectionContext(
        EventLoopContext eventLoop,
        RequestRouter router,
        DrainStatus drain,
        ConnectionEviction eviction,
        HeadMemory headMemory) {
    /** Counts what was done to a connection or its request for this reason. */
    void count(Reason reason) {
        eventLoop.protections().count(reason);
    }
}
