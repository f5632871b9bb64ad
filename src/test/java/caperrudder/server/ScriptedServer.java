package caperrudder.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on a port of the system's choice that notes its requests and answers by script. */
public class ScriptedServer implements Closeable {
    private static final int BACKLOG = 1024;

    /** What the server does with a request; it may keep the socket, write to it or close it. */
    public interface Script {
        void answer(HttpMessage request, Socket socket) throws IOException, InterruptedException;
    }

    private final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<HttpMessage> arrivals = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
    private final ServerSocket listener;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Script script;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** All requests that have come, in their order. */
    public List<HttpMessage> requests() {
        return requests;
    }

    /** The next request that was not taken here before; null where none comes in time. */
    public HttpMessage next() throws InterruptedException {
        return arrivals.poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** The connections that the other side ended, as they end. */
    public BlockingQueue<Socket> ended() {
        return ended;
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try {
            for (HttpMessage request = HttpMessage.read(socket.getInputStream());
                    request != null;
                    request = HttpMessage.read(socket.getInputStream())) {
                requests.add(request);
                arrivals.add(request);
                script.answer(request, socket);
            }
        } catch (IOException | InterruptedException e) {
            // ended either way
        }
        ended.add(socket);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
