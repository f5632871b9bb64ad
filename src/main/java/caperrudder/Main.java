package caperrudder;

import java.io.IOException;
import java.util.Arrays;

/**
 * Runs the command that the first argument names. {@code serve} runs an API gateway. {@code wirehost} runs the traffic
 * policy for the simulator. {@code rehearse} is a short run of a gateway, from which the build records the classes that
 * are loaded at startup. {@code scale} measures the resources that gateways use, by the size of their fleet.
 *
 * <p>The commands are referenced by qualified name in separate branches, so that a process loads only the classes of
 * its command.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a command. Prints the usage and exits with status 2 if the arguments name no command.
     *
     * @throws IOException if the command can't read or write
     * @throws InterruptedException if the thread is interrupted while the command runs
     */
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
                System.exit(EXIT_USAGE);
            }
        }
    }
}
