package caperrudder.server.config;

import caperrudder.api.Settings;
import caperrudder.server.discovery.EndpointList;
import caperrudder.server.discovery.EndpointListParser;
import caperrudder.server.discovery.EndpointListTooLongException;
import caperrudder.server.runtime.Log;
import caperrudder.server.runtime.SocketAddresses;
import caperrudder.settings.FieldException;
import caperrudder.settings.Fields;
import caperrudder.settings.SettingsReader;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/**
 * What this api gateway was told at its start; anything missing or malformed is a {@link BadConfig}. {@code known} is
 * null where no list was told, or one too long.
 */
public record GatewayConfig(
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        int sockets,
        int memoryMb,
        EndpointList known,
        Settings settings,
        double connectTimeoutMs,
        double idleMs,
        int maxOpen) {
    private static final Log LOG = Log.of("config");
    private static final String KNOWN = "known";
    private static final int HEX = 16;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 96;
    private static final double DEFAULT_CONNECT_MS = 250;
    private static final double DEFAULT_IDLE_MS = 15_000;
    private static final double DEFAULT_MAX_OPEN = 20_000;

    /** One plain line on what is wrong with the configuration. */
    public static final class BadConfig extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfig(String message) {
            super(message);
        }
    }

    public static GatewayConfig read(String file) throws BadConfig {
        return read(file, true);
    }

    /** Without the list of hosts, which is of use at a start alone. */
    public static GatewayConfig readAgain(String file) throws BadConfig {
        return read(file, false);
    }

    private static GatewayConfig read(String file, boolean withKnown) throws BadConfig {
        if (file == null || file.isEmpty()) {
            throw new BadConfig("NODE_CONFIG names no file");
        }
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            return read(text, withKnown);
        } catch (IOException e) {
            throw new BadConfig("can't read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        } catch (FieldException | IllegalArgumentException e) {
            throw new BadConfig(file + ": " + e.getMessage());
        }
    }

    public static GatewayConfig read(InputStream text, boolean withKnown) throws IOException {
        EndpointList[] known = new EndpointList[1];
        return of(
                JsonTreeReader.read(text, (field, at) -> {
                    if (field.equals(KNOWN)) {
                        known[0] = withKnown ? known(at) : null;
                        return withKnown || at.skipChildren() != null;
                    }
                    return false;
                }),
                known[0]);
    }

    /** Read without a tree, since it may be longer than all else by far; null where there is none, or too long a one. */
    private static EndpointList known(JsonParser at) throws IOException {
        long from = at.currentTokenLocation().getByteOffset();
        int depth = at.getParsingContext().getNestingDepth();
        try {
            return EndpointListParser.parse(at, EndpointListParser.maxBytes()).orElse(null);
        } catch (EndpointListTooLongException e) {
            JsonToken token = at.currentToken();
            while (token != null
                    && !(token.isStructEnd() && at.getParsingContext().getNestingDepth() < depth)) {
                token = at.nextToken();
            }
            long bytes = at.currentLocation().getByteOffset() - from;
            LOG.warn("endpoint list in \'known\' rejected", "bytes", bytes, "reason", e.getMessage());
            return null;
        }
    }

    /** Without the list of hosts, once it has been told: it would stay in memory as long as this. */
    public GatewayConfig withoutKnown() {
        return new GatewayConfig(
                listen,
                admin,
                discovery,
                peerListen,
                peers,
                peersAll,
                sockets,
                memoryMb,
                null,
                settings,
                connectTimeoutMs,
                idleMs,
                maxOpen);
    }

    /** With a second address that was told to this process alone, where it was told one. */
    public GatewayConfig withAdmin(String address) throws BadConfig {
        if (address == null || address.isEmpty()) {
            return this;
        }
        try {
            return new GatewayConfig(
                    listen,
                    SocketAddresses.parse(address),
                    discovery,
                    peerListen,
                    peers,
                    peersAll,
                    sockets,
                    memoryMb,
                    known,
                    settings,
                    connectTimeoutMs,
                    idleMs,
                    maxOpen);
        } catch (IllegalArgumentException e) {
            throw new BadConfig("NODE_ADMIN_ADDR: " + e.getMessage());
        }
    }

    public static GatewayConfig of(JsonNode root) throws IOException {
        try (JsonParser known = root.path(KNOWN).traverse()) {
            return of(
                    root,
                    EndpointListParser.parse(known, EndpointListParser.maxBytes())
                            .orElse(null));
        }
    }

    private static GatewayConfig of(JsonNode root, EndpointList known) {
        if (!root.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", root.path("settings"), pairs);
        pairs.put("rng_seed", Long.toString(Long.parseUnsignedLong(text(root, "seed"), HEX)));
        Fields fields = new Fields(pairs);
        Settings settings = SettingsReader.read(fields);
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(SocketAddresses.parse(peer.asText()));
        }
        boolean mail = settings.limits().peerMessages() && root.hasNonNull("peer_listen");
        return new GatewayConfig(
                SocketAddresses.parse(text(root, "listen")),
                root.hasNonNull("admin_addr") ? SocketAddresses.parse(text(root, "admin_addr")) : null,
                SocketAddresses.parse(text(root, "discovery")),
                mail ? SocketAddresses.parse(text(root, "peer_listen")) : null,
                List.copyOf(peers),
                root.hasNonNull("peers_all") ? SocketAddresses.parse(text(root, "peers_all")) : null,
                root.path("limits").path("sockets").asInt(DEFAULT_SOCKETS),
                root.path("limits").path("memory_mb").asInt(DEFAULT_MEMORY_MB),
                known,
                settings,
                fields.number("limits.connect_timeout_ms", DEFAULT_CONNECT_MS),
                fields.number("limits.conn_idle_ms", DEFAULT_IDLE_MS),
                (int) fields.number("limits.max_open", DEFAULT_MAX_OPEN));
    }

    /** Nested settings under the names that the simulator's wire gives them. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        String below = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.fields().forEachRemaining(e -> flatten(below + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isObject()) {
            pairs.put(below + "count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(below + i, node.get(i), pairs);
            }
        } else if (node.isArray()) {
            StringJoiner list = new StringJoiner(",");
            node.forEach(value -> list.add(value.asText()));
            pairs.put(path, list.toString());
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }

    private static String text(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("missing or malformed '" + name + "'");
        }
        return value.asText();
    }
}
