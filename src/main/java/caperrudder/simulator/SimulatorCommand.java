package caperrudder.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** The command {@code wirehost}: runs policies for the simulator over standard input and output. */
public final class SimulatorCommand {
    private static final String COMMAND = "wirehost";
    private static final int BUFFER_CHARS = 1 << 16;
    private static final int EXIT_MALFORMED_INPUT = 1;
    private static final int EXIT_USAGE = 2;

    private SimulatorCommand() {}

    /**
     * Runs until standard input ends. If the input is malformed, prints one line to standard error and exits with
     * status 1. If the arguments are not exactly {@code wirehost}, prints the usage and exits with status 2.
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals(COMMAND)) {
            System.err.println("usage: caperrudder " + COMMAND);
            System.exit(EXIT_USAGE);
        }
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
        BufferedWriter output =
                new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_CHARS);
        try {
            new SimulatorAdapter(input, output).run();
        } catch (WireFormatException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_MALFORMED_INPUT);
        }
    }
}
