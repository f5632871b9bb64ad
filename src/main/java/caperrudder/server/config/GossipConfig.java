package caperrudder.server.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The addresses by which the gateways of a fleet exchange datagrams. Immutable.
 *
 * @param listen where messages of peers arrive; empty where the deployment knows no messages between gateways
 * @param peers the gateways' addresses by their index, this gateway's own included
 * @param broadcast where one datagram reaches all peers; empty where there is no such address
 */
public record GossipConfig(
        Optional<InetSocketAddress> listen, List<InetSocketAddress> peers, Optional<InetSocketAddress> broadcast) {

    /** No messages between gateways. */
    public static GossipConfig none() {
        return new GossipConfig(Optional.empty(), List.of(), Optional.empty());
    }
}
