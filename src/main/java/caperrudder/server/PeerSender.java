package caperrudder.server;

/** Sends messages to the other gateways; one may be lost. On the event loop. */
@FunctionalInterface
interface PeerSender {
    /** To the gateway with this index, or to all where it is -1. */
    void send(int peer, byte[] message);
}
