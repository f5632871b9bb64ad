package caperrudder.server.config;

import caperrudder.api.Settings;
import caperrudder.server.runtime.SocketAddresses;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The configuration of one gateway process, from the file that {@code NODE_CONFIG} names (see DEPLOY). Immutable.
 *
 * @param listen where clients are served
 * @param admin the admin address, where there is one
 * @param discovery the agent that serves the endpoint list
 * @param gossip the other gateways
 * @param limits what the process may use
 * @param settings the settings of the policy
 */
public record GatewayConfig(
        InetSocketAddress listen,
        Optional<InetSocketAddress> admin,
        InetSocketAddress discovery,
        GossipConfig gossip,
        ResourceLimits limits,
        Settings settings) {

    /**
     * Reads the endpoint list that a configuration gives a process to start with. It is no part of the configuration:
     * it may be longer than all else by far, and would stay in memory as long.
     */
    @FunctionalInterface
    public interface KnownEndpointsReader {
        /** Reads the value at whose first token the parser stands, to its last one. */
        void read(JsonParser parser) throws IOException;
    }

    /**
     * The configuration in {@code file}.
     *
     * @param file may be null or empty where none was named
     * @throws ConfigurationException where the file can't be read, or anything in it is missing or malformed
     */
    public static GatewayConfig read(String file, KnownEndpointsReader endpointsReader) throws ConfigurationException {
        return GatewayConfigReader.read(file, endpointsReader);
    }

    /** As {@link #read(String, KnownEndpointsReader)} without the known endpoints, which are of use at a start alone. */
    public static GatewayConfig readWithoutEndpoints(String file) throws ConfigurationException {
        return GatewayConfigReader.read(file, JsonParser::skipChildren);
    }

    /**
     * The configuration in a JSON text.
     *
     * @throws IOException where the text can't be read or is no JSON
     * @throws IllegalArgumentException where anything in it is missing or malformed
     */
    public static GatewayConfig read(InputStream text, KnownEndpointsReader endpointsReader) throws IOException {
        return GatewayConfigReader.read(text, endpointsReader);
    }

    /**
     * With the admin address of this process alone ({@code NODE_ADMIN_ADDR}); {@code address} may be null or empty.
     *
     * @throws ConfigurationException where it is malformed
     */
    public GatewayConfig withAdminAddress(String address) throws ConfigurationException {
        if (address == null || address.isEmpty()) {
            return this;
        }
        try {
            Optional<InetSocketAddress> own = Optional.of(SocketAddresses.parse(address));
            return new GatewayConfig(listen, own, discovery, gossip, limits, settings);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("NODE_ADMIN_ADDR", e.getMessage());
        }
    }
}
