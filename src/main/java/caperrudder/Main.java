package caperrudder;

import java.io.IOException;
import java.util.Arrays;

/**
 * The command line: {@code serve} is one real api gateway, {@code wirehost} the module on the simulator's wire,
 * {@code rehearse} a short run of the former for the build, {@code scale} measures what a fleet costs. Each is named
 * here by its own branch, so that a process loads the classes of its command alone.
 */
public final class Main {
    private static final int USAGE = 2;

    private Main() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length > 0 && args[0].equals("scale")) {
            System.exit(caperrudder.scale.ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> caperrudder.server.GatewayProcess.main(
                    System.getenv("NODE_CONFIG"), System.getenv("NODE_ADMIN_ADDR"));
            case "rehearse" -> caperrudder.server.StartupProfileRun.run();
            case "wirehost" -> caperrudder.simulator.SimulatorCommand.main(args);
            default -> {
                System.err.println("usage: caperrudder serve | rehearse | wirehost | scale");
                System.exit(USAGE);
            }
        }
    }
}
