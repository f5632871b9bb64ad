package deckfall.net;

import static deckfall.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.net.Sockets.Client;
import deckfall.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** What crosses a planned stop: each request taken gets its one answer. */
class DrainTest extends SocketTest {

    /** Told to end before it took anyone, it takes nobody and is done. */
    @Test
    void aNodeThatIsToEndBeforeItListensNeverDoes() throws Exception {
        registry = kept(new Sockets.Registry(Sockets.list(1, true)));
        Node node = new Node(NodeConfig.of(new com.fasterxml.jackson.databind.ObjectMapper()
                .readTree(Sockets.config(registry.server.address(), "127.0.0.1:0"))));
        ends.push(node::stop);
        node.loop.submit(() -> node.end(false)).sync();
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
        assertTrue(!node.start() && !node.isReady());
    }

    /** From the first moment of listening on: the first client's request is open when the end is told. */
    @Test
    void theFirstRequestOfANodeThatIsToEndIsAnswered() throws Exception {
        Server host = host(SocketTest::echo);
        Node node = nodeBefore(host);
        Client c = client(node).send(view("v", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        node.loop.submit(() -> node.end(false)).sync();
        assertEquals("for v ", c.receive().text());
    }
}
