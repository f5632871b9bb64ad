package caperrudder.server.discovery;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.ok;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.policy.TrafficPolicy;
import caperrudder.server.GatewayServer;
import caperrudder.server.GatewaySocketTest;
import caperrudder.server.HttpMessage;
import caperrudder.server.ScriptedServer;
import caperrudder.server.TestClient;
import caperrudder.server.TestGateways;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.runtime.Transport;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to discovery that fall silent, come late or are answered with what can't be a list. */
class DiscoveryClientTest extends GatewaySocketTest {
    private static final String NONE_KNOWN = "{\"version\": 0, \"full\": true, \"servers\": []}";

    private GatewayServer node(ScriptedServer agent, String known, String mode) throws IOException {
        GatewayServer node = TestGateways.start(TestGateways.config(agent.address(), "127.0.0.1:0")
                .replace(NONE_KNOWN, known)
                .replace("\"az\": \"a\"", "\"az\": \"a\", \"discovery\": \"" + mode + "\"")
                .replace("\"rules\": {", "\"rules\": {\"drain_grace_ms\": 500, "));
        closeAtEnd(node::stop);
        return node;
    }

    /** An agent whose calls a test answers by hand. */
    private static final class ByHand {
        private final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
        final ScriptedServer server = new ScriptedServer((m, s) -> calls.add(s));

        ByHand() throws IOException {}

        Socket next() throws InterruptedException {
            Socket s = calls.poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertNotNull(s, "no call came");
            return s;
        }

        void answer(Socket s, String body) throws IOException {
            s.getOutputStream().write(ok(body));
        }
    }

    /** Seen: calls that fell silent were made again after 7.5 s, and a drain counts as told after 6 to 7. */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void silentWatchIsHedgedBeforeAnUpdateIsOverdue(String mode) throws Exception {
        ScriptedServer old = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        ByHand agent = new ByHand();
        closeAtEnd(agent.server);
        Thread answering = new Thread(() -> {
            try {
                agent.answer(agent.next(), list(1, true, entry("h0", old.address(), "ready")));
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        answering.start();
        GatewayServer node = node(agent.server, NONE_KNOWN, mode);
        answering.join();
        Socket silent = agent.next(); // the watch
        long from = System.nanoTime();
        Socket beside = agent.next();
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) < 5000, "later than 6 s less a line");
        agent.answer(
                beside, list(2, false, entry("h0", old.address(), "draining"), entry("h1", fresh.address(), "ready")));
        assertNotNull(agent.next()); // once it has been heard
        assertNull(HttpMessage.read(silent.getInputStream())); // and the silent one is left
        TestClient c = client(node);
        assertEquals(
                "for v ",
                c.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().text());
        assertEquals(0, old.requests().size());
    }

    /** An agent that was cut off answers at its return what it was asked before: that call must still be open. */
    @Test
    void silentPollIsHedgedWithinADrainsGraceAndStillFollowed() throws Exception {
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        ByHand agent = new ByHand();
        closeAtEnd(agent.server);
        GatewayServer node = node(agent.server, NONE_KNOWN, "automatic");
        Socket silent = agent.next();
        long from = 0;
        for (int i = 0; i < 4; i++) {
            assertNotNull(agent.next());
            if (i > 0) {
                long gap = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
                assertTrue(gap < 1000, "made again after " + gap); // 200 ms and at most 225, on a busy machine
            }
            from = System.nanoTime();
        }
        agent.answer(silent, list(1, true, entry("h0", fresh.address(), "ready")));
        while (agent.next() != silent) { // its next call says that the list has been heard
        }
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    /** Seen in the code: a new process took clients by the list that it was started with, however old. */
    @Test
    void noClientIsServedBeforeTheAgentsFirstAnswer() throws Exception {
        ScriptedServer drained = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        CountDownLatch started = new CountDownLatch(1);
        AtomicBoolean early = new AtomicBoolean();
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> {
            if (m.start().contains("from=41&")) {
                early.set(started.await(200, TimeUnit.MILLISECONDS));
                s.getOutputStream()
                        .write(ok(list(
                                42,
                                false,
                                entry("h0", drained.address(), "draining"),
                                entry("h1", fresh.address(), "ready"))));
            }
        }));
        GatewayServer node = node(agent, list(41, true, entry("h0", drained.address(), "ready")), "automatic");
        started.countDown();
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
        assertFalse(early.get());
        assertEquals(0, drained.requests().size());
    }

    /** Each of these once emptied the list, or was asked for again thousands of times a second. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\":2,\"full\":true,\"servers\":[]}",
                "{\"full\":true,\"servers\":[]}",
                "{\"full\":false,\"servers\":[]}",
                "{\"version\":3,\"full\":true}",
                "[]",
                "{\"version\":\"x\",\"servers\":[]}",
                "{\"version\":4,\"full\":true,\"servers\":[",
                "",
                "not JSON"
            })
    void malformedListIsRetriedWithBackoffAndTheLastGoodOneServes(String bad) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        ScriptedServer agent =
                closeAtEnd(new ScriptedServer((m, s) -> s.getOutputStream().write(ok(bad))));
        GatewayServer node = node(agent, list(41, true, entry("h0", host.address(), "ready")), "subscribe");
        for (int i = 0; i < 5; i++) {
            assertNotNull(agent.next());
        }
        long from = System.nanoTime();
        assertNotNull(agent.next());
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) >= 300, "after 0.5 to 1.5 times 0.8 s");
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    /** Refused by its length as told, before anything of it has come. */
    @Test
    void listAnnouncedBeyondMemoryIsRejectedAndTheLastGoodOneServes() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> s.getOutputStream()
                .write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + Long.MAX_VALUE + "\r\n\r\n{"))));
        GatewayServer node = node(agent, list(41, true, entry("h0", host.address(), "ready")), "automatic");
        assertNotNull(agent.next());
        assertNotNull(agent.ended().poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, agent.requests().size()); // the call was ended, not taken for one that is silent
        long from = System.nanoTime();
        assertTrue(agent.next().start().contains("from=41&"));
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) >= 500, "after 0.5 to 1.5 times 2 s");
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    /** A list of the whole fleet once kept the event loop for half a second. */
    @Test
    void longListIsReadOneSliceATurnOfTheEventLoop() throws Exception {
        String[] entries = new String[20_000];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry("h" + i, "127.0.0.2:" + (1 + i), "ready");
        }
        byte[] list = ok(list(1, true, entries));
        AtomicInteger turns = new AtomicInteger();
        AtomicInteger before = new AtomicInteger();
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> {
            if (!m.start().contains("from=")) {
                before.set(turns.get());
                s.getOutputStream().write(list);
            }
        }));
        NioEventLoopGroup group =
                new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> (select, hasTasks) -> {
                    turns.incrementAndGet();
                    return DefaultSelectStrategyFactory.INSTANCE
                            .newSelectStrategy()
                            .calculateStrategy(select, hasTasks);
                });
        GatewayServer node =
                new GatewayServer(configured(agent), Optional.empty(), TrafficPolicy::new, Transport.TCP, group);
        closeAtEnd(node::stop);
        node.start();
        assertNotNull(agent.next());
        assertNotNull(agent.next()); // once the list has been read
        int read = turns.get() - before.get();
        int slices = list.length / DiscoveryConnection.SLICE_BYTES;
        assertTrue(read >= slices, read + " turns for " + slices + " slices");
    }

    /** A version that runs backwards, a double id and a host that changes its zone. */
    @Test
    void latestUpdateReplacesEarlierOnesWhateverItsVersion() throws Exception {
        ScriptedServer old = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> {
            if (m.start().contains("from=41&")) {
                s.getOutputStream()
                        .write(ok(list(
                                7,
                                false,
                                entry("h0", old.address(), "draining"),
                                entry("h0", fresh.address(), "ready").replace("\"zone\":\"a\"", "\"zone\":\"b\""))));
            }
        }));
        GatewayServer node = node(agent, list(41, true, entry("h0", old.address(), "ready")), "automatic");
        assertNotNull(agent.next());
        assertTrue(agent.next().start().contains("from=7&"));
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
        assertEquals(0, old.requests().size());
        assertEquals(1, fresh.requests().size());
    }

    /** A list that never ends is one that is silent. */
    @Test
    void endlessListIsHedged() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        AtomicBoolean first = new AtomicBoolean(true);
        CountDownLatch heard = new CountDownLatch(1);
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> {
            if (first.getAndSet(false)) {
                s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                while (!heard.await(20, TimeUnit.MILLISECONDS)) {
                    s.getOutputStream().write(bytes("1\r\n \r\n"));
                }
            } else if (m.start().contains("from=1&")) {
                heard.countDown();
            } else {
                s.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        GatewayServer node = node(agent, NONE_KNOWN, "automatic");
        assertTrue(heard.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    /** Lists come with blanks and line ends, too. */
    @Test
    void indentedListIsRead() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> {
            if (!m.start().contains("from=1&")) {
                s.getOutputStream()
                        .write(ok(list(1, true, entry("h0", host.address(), "ready"))
                                .replace(",", ",\r\n    ")
                                .replace("{", " {\n\t")
                                .replace("}", "\n}\n")));
            }
        }));
        GatewayServer node = node(agent, NONE_KNOWN, "automatic");
        for (int i = 0; i < 2; i++) {
            assertNotNull(agent.next());
        }
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    private static final byte[] REFUSAL =
            bytes("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n");

    private static long msSince(long from) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    }

    /** The agent of a node that was started with a list. */
    private ByHand beforeOneThatKnows(String mode) throws IOException {
        ByHand agent = new ByHand();
        closeAtEnd(agent.server);
        node(agent.server, list(41, true, entry("h0", "127.0.0.1:1", "ready")), mode);
        return agent;
    }

    /** Seen in the code: a rest of up to 3 s, then a watch whose silence shows after 4.5 s, then the call beside it. */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void silentPollAfterARejectionIsHedgedInTime(String mode) throws Exception {
        ByHand agent = beforeOneThatKnows(mode);
        Socket refused = agent.next();
        long from = System.nanoTime();
        refused.getOutputStream().write(REFUSAL);
        agent.next(); // is left silent
        agent.next(); // beside it
        assertTrue(msSince(from) < 4500, "6 s less a line, but after " + msSince(from));
    }

    /** Seen in the code: beside a watch that was silent for 4.5 s, a refused call was made again up to 3 s later. */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void rejectedHedgeOfASilentWatchIsRetriedInTime(String mode) throws Exception {
        ByHand agent = beforeOneThatKnows(mode);
        agent.answer(agent.next(), list(42, false));
        agent.next(); // the watch is left silent
        long from = System.nanoTime();
        agent.next().getOutputStream().write(REFUSAL);
        agent.next();
        assertTrue(msSince(from) < 5400, "6 s less a short line, but after " + msSince(from));
    }

    /** After SIGHUP news count as told 4 s later, whatever becomes of the first call to the new address. */
    @ParameterizedTest
    @ValueSource(strings = {"automatic refused", "automatic silent", "subscribe refused", "subscribe silent"})
    void moveToAnotherAgentSucceedsInTimeAfterTwoFailedPolls(String way) throws Exception {
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        ByHand old = new ByHand();
        ByHand agent = new ByHand();
        closeAtEnd(old.server);
        closeAtEnd(agent.server);
        String mode = way.split(" ", -1)[0];
        GatewayServer node = node(old.server, list(41, true, entry("h0", "127.0.0.1:1", "ready")), mode);
        old.answer(old.next(), list(42, false));
        long from = System.nanoTime();
        node.reload(configured(agent.server));
        if (way.endsWith("refused")) { // then silent
            agent.next().getOutputStream().write(REFUSAL);
            agent.next();
        } else { // then refused
            agent.next();
            agent.next().getOutputStream().write(REFUSAL);
        }
        Socket third = agent.next();
        assertTrue(msSince(from) < 3100, "4 s less a line, but after " + msSince(from));
        agent.answer(third, list(1, true, entry("h1", fresh.address(), "ready")));
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    /** A new configuration that names the same agent leaves the watch as it is, and what that tells is heard. */
    @Test
    void reloadWithTheSameAgentKeepsTheWatch() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        node.reload(configured(discovery.server()));
        node.loop().submit(() -> {}).sync(); // it has been taken in
        discovery.updates().add(list(2, false, entry("h0", host.address(), "ready")));
        awaitWatches(2);
        assertEquals(
                "for v ",
                client(node)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
        assertEquals(
                1,
                discovery.server().requests().stream()
                        .filter(m -> !m.start().contains("from="))
                        .count());
    }

    /** Twice told to move before the first new agent has answered: only the last one is heard. */
    @Test
    void secondMoveBeforeAnAnswerFollowsTheLastAgent() throws Exception {
        ScriptedServer gone = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayListing();
        ByHand between = new ByHand();
        closeAtEnd(between.server);
        ScriptedServer last = closeAtEnd(new ScriptedServer((m, s) -> {
            if (!m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(1, true, entry("h1", fresh.address(), "ready"))));
            }
        }));
        node.reload(configured(between.server));
        Socket late = between.next();
        node.reload(configured(last));
        for (int i = 0; i < 2; i++) {
            assertNotNull(last.next());
        }
        try {
            late.getOutputStream().write(ok(list(900, true, entry("h0", gone.address(), "ready"))));
        } catch (IOException closed) {
            // the gateway has left it: then it can't be heard at all
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    "for v" + i + " ",
                    client(node)
                            .send(view("v" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .text());
        }
        assertEquals(0, gone.requests().size());
    }

    private static GatewayConfig configured(ScriptedServer agent) throws IOException {
        return TestGateways.configured(TestGateways.config(agent.address(), "127.0.0.1:0"));
    }
}
