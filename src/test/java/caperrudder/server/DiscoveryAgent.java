package caperrudder.server;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Discovery's agent: one whole list, and watches that hold until an update is put in. */
public final class DiscoveryAgent implements Closeable {
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private final ScriptedServer server;

    public DiscoveryAgent(String wholeList) throws IOException {
        server = new ScriptedServer((request, socket) -> {
            String body = isWatch(request) ? updates.take() : wholeList;
            socket.getOutputStream().write(TestRequests.ok(body));
        });
    }

    private static boolean isWatch(HttpMessage request) {
        return request.start().contains("from=");
    }

    /** Lists of hosts that answer one watch each. */
    public BlockingQueue<String> updates() {
        return updates;
    }

    public ScriptedServer server() {
        return server;
    }

    /** How many watches have come. */
    public long watches() {
        return server.requests().stream().filter(DiscoveryAgent::isWatch).count();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** A list of hosts, or of changes where not {@code full}. */
    public static String list(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** A host in such a list. */
    public static String entry(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }
}
