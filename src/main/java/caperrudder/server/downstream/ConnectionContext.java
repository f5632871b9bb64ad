package caperrudder.server.downstream;

import caperrudder.server.runtime.EventLoopContext;

/** What all client connections of one gateway share. */
record ConnectionContext(
        EventLoopContext eventLoop, RequestRouter router, DrainStatus drain, ConnectionEviction eviction) {}
