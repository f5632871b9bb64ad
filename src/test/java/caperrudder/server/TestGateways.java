package caperrudder.server;

import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.discovery.KnownEndpoints;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Gateways on ports of the system's choice. */
public final class TestGateways {
    private TestGateways() {}

    /** A configuration with one class that is idempotent and one with an idempotency key. */
    public static String config(String discovery, String peerListen, String... peers) {
        List<String> quoted = new ArrayList<>();
        for (String p : peers) {
            quoted.add('"' + p + '"');
        }
        return """
                {"name": "n0", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "peer_listen": "%s", "peers": [%s], "known": {"version": 0, "full": true, "servers": []},
                 "settings": {"ordinal": 0, "balancers": %d, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "peer_messages": true, "retry_after": true,
                   "max_retry_after_ms": 500, "connect_timeout_ms": 5000},
                  "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2},
                  "specifics": {"max_units": 4, "mail_per_s": 40},
                  "classes": [{"name": "view", "effect": "repeatable", "goal_time_ms": 20000, "hard_limit_ms": 60000},
                   {"name": "order", "effect": "by_key", "key_scope": "zone", "window_ms": 60000,
                    "goal_time_ms": 20000, "hard_limit_ms": 60000}],
                  "plans": [{"name": "free", "units_per_s": 100000, "depth": 100000},
                   {"name": "tiny", "units_per_s": 0.001, "depth": 1}]}}
                """
                .formatted(discovery, peerListen, String.join(",", quoted), Math.max(1, peers.length));
    }

    /** A gateway that serves. */
    public static GatewayServer start(String config) throws IOException {
        return start(config, TrafficPolicy::new);
    }

    /** The same with another policy. */
    public static GatewayServer start(String config, Function<PolicyActions, PolicyEvents> policy) throws IOException {
        GatewayServer gateway = unstarted(config, policy);
        gateway.start();
        return gateway;
    }

    /** The configuration in a text, without its known endpoints. */
    public static GatewayConfig configured(String config) throws IOException {
        return GatewayConfig.read(
                new ByteArrayInputStream(config.getBytes(StandardCharsets.UTF_8)), JsonParser::skipChildren);
    }

    /** A gateway that has not started. */
    public static GatewayServer unstarted(String config, Function<PolicyActions, PolicyEvents> policy)
            throws IOException {
        KnownEndpoints known = new KnownEndpoints();
        GatewayConfig read =
                GatewayConfig.read(new ByteArrayInputStream(config.getBytes(StandardCharsets.UTF_8)), known);
        return new GatewayServer(read, known.list(), policy);
    }
}
