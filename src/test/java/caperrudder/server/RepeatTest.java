package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.order;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What may have run is repeated only as the effect in the settings permits, however its first attempt ends. */
class RepeatTest extends GatewaySocketTest {
    private static final Map<String, ScriptedServer.Script> ENDS = Map.of(
            "reset",
                    (m, s) -> {
                        s.setSoLinger(true, 0);
                        s.close();
                    },
            "end", (m, s) -> s.close(),
            "error", (m, s) -> s.getOutputStream().write(bytes("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")),
            "spoilt", (m, s) -> s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")),
            "stall", (m, s) -> s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")),
            "half",
                    (m, s) -> {
                        s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));
                        s.close();
                    },
            "turned away, it says",
                    (m, s) -> s.getOutputStream() // without the word that it never ran
                            .write(bytes("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")));

    private GatewayServer node(String effect, ScriptedServer... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = entry("h" + i, hosts[i].address(), "ready");
        }
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entries)));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"effect\": \"by_key\"", "\"effect\": \"" + effect + "\""));
        closeAtEnd(node::stop);
        return node;
    }

    private static void firstBy(String end, AtomicInteger asked, HttpMessage m, Socket s)
            throws IOException, InterruptedException {
        if (asked.incrementAndGet() == 1) {
            ENDS.get(end).answer(m, s);
        } else {
            echo(m, s);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "once,reset",
        "once,end",
        "once,error",
        "once,spoilt",
        "once,stall",
        "once,half",
        "once,'turned away, it says'",
        "by_key,reset",
        "by_key,end",
        "by_key,error",
        "by_key,spoilt",
        "by_key,stall",
        "by_key,half",
        "by_key,'turned away, it says'"
    })
    void requestThatMayHaveRunIsRetriedOnlyAsItsIdempotencyPermits(String effect, String end) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer host = host((m, s) -> firstBy(end, asked, m, s));
        HttpMessage answer = client(node(effect, host)).send(order("o", "b")).receive();
        boolean once = effect.equals("once");
        assertEquals(once ? 502 : 200, answer.status()); // failed: refusing would say that trying again is harmless
        assertEquals(once ? 1 : 2, asked.get());
    }

    /** It never ran, whatever its effect: no connection came up, or the host said so. */
    @ParameterizedTest
    @CsvSource({"once", "by_key"})
    void requestThatNeverRanIsRetriedOnAnotherHost(String effect) throws Exception {
        ScriptedServer full = host((m, s) ->
                s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
        ScriptedServer good = host(GatewaySocketTest::echo);
        GatewayServer node = node(effect, full, good);
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    "for o" + i + " b",
                    client(node).send(order("o" + i, "b")).receive().text());
        }
        assertEquals(10, good.requests().size());
    }

    /** A host ends each connection right behind its answer: none of those may carry the next request. */
    @Test
    void connectionClosedInThePoolCostsNoRequest() throws Exception {
        ScriptedServer host = host((m, s) -> {
            echo(m, s);
            s.close();
        });
        TestClient c = client(node("once", host));
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    "for o" + i + " b", c.send(order("o" + i, "b")).receive().text());
        }
        assertEquals(50, host.requests().size());
    }
}
