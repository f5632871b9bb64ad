package caperrudder.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/** A client's connection to a gateway. */
public final class TestClient implements Closeable {
    private final Socket socket;

    public TestClient(GatewayServer gateway) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), gateway.port());
        socket.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
    }

    public Socket socket() {
        return socket;
    }

    public TestClient send(String text) throws IOException {
        socket.getOutputStream().write(TestRequests.bytes(text));
        return this;
    }

    /** The next response, or null where the connection ends before or inside it. */
    public HttpMessage receive() throws IOException {
        return HttpMessage.read(socket.getInputStream());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
