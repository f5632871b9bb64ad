package caperrudder.server.config;

import caperrudder.api.Settings;
import caperrudder.server.config.GatewayConfig.KnownEndpointsReader;
import caperrudder.server.runtime.SocketAddresses;
import caperrudder.settings.FieldException;
import caperrudder.settings.FieldValues;
import caperrudder.settings.SettingsReader;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.TreeMap;

/** Reads a {@link GatewayConfig} from JSON and checks it. */
final class GatewayConfigReader {
    private static final String KNOWN_ENDPOINTS = "known";
    private static final int HEX = 16;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 96;
    private static final double DEFAULT_CONNECT_MS = 250;
    private static final double DEFAULT_IDLE_MS = 15_000;
    private static final double DEFAULT_MAX_OPEN = 20_000;

    private GatewayConfigReader() {}

    static GatewayConfig read(String file, KnownEndpointsReader endpointsReader) throws ConfigurationException {
        if (file == null || file.isEmpty()) {
            throw new ConfigurationException("NODE_CONFIG", "names no file");
        }
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            return read(text, endpointsReader);
        } catch (IOException e) {
            throw new ConfigurationException(file, "can't be read: " + firstLine(e));
        } catch (FieldException | IllegalArgumentException e) {
            throw new ConfigurationException(file, e.getMessage());
        }
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    static GatewayConfig read(InputStream text, KnownEndpointsReader endpointsReader) throws IOException {
        JsonNode root = JsonTreeReader.read(text, (field, parser) -> {
            boolean isEndpoints = field.equals(KNOWN_ENDPOINTS);
            if (isEndpoints) {
                endpointsReader.read(parser);
            }
            return isEndpoints;
        });
        return of(root);
    }

    private static GatewayConfig of(JsonNode root) {
        if (!root.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        FieldValues fields = fields(root);
        Settings settings = SettingsReader.read(fields);
        return new GatewayConfig(
                SocketAddresses.parse(text(root, "listen")),
                optionalAddress(root, "admin_addr"),
                SocketAddresses.parse(text(root, "discovery")),
                gossip(root, settings.limits().peerMessages()),
                limits(root, fields),
                settings);
    }

    /** The settings under the flat names that the simulator's wire gives them. */
    private static FieldValues fields(JsonNode root) {
        Map<String, String> pairs = new TreeMap<>();
        flatten("", root.path("settings"), pairs);
        pairs.put("rng_seed", Long.toString(Long.parseUnsignedLong(text(root, "seed"), HEX)));
        return new FieldValues(pairs);
    }

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

    private static GossipConfig gossip(JsonNode root, boolean peerMessages) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(SocketAddresses.parse(peer.asText()));
        }
        return new GossipConfig(
                peerMessages ? optionalAddress(root, "peer_listen") : Optional.empty(),
                List.copyOf(peers),
                optionalAddress(root, "peers_all"));
    }

    private static ResourceLimits limits(JsonNode root, FieldValues fields) {
        JsonNode limits = root.path("limits");
        return new ResourceLimits(
                limits.path("sockets").asInt(DEFAULT_SOCKETS),
                limits.path("memory_mb").asInt(DEFAULT_MEMORY_MB),
                fields.getDouble("limits.connect_timeout_ms", DEFAULT_CONNECT_MS),
                fields.getDouble("limits.conn_idle_ms", DEFAULT_IDLE_MS),
                (int) fields.getDouble("limits.max_open", DEFAULT_MAX_OPEN));
    }

    private static Optional<InetSocketAddress> optionalAddress(JsonNode root, String name) {
        return root.hasNonNull(name) ? Optional.of(SocketAddresses.parse(text(root, name))) : Optional.empty();
    }

    private static String text(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("missing or malformed '" + name + "'");
        }
        return value.asText();
    }
}
