package caperrudder.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** The command {@code wirehost}: answers the simulator on standard input and output. */
public final class SimulatorCommand {
    private static final String COMMAND = "wirehost";
    private static final int BUFFER_CHARS = 1 << 16;
    private static final int MALFORMED_INPUT = 1; // exit code
    private static final int USAGE = 2; // exit code

    private SimulatorCommand() {}

    /**
     * Runs until standard input ends. Ends the process with 1 and one line on standard error where the input can't be
     * read, with 2 for a command line that is not {@code wirehost} alone.
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals(COMMAND)) {
            System.err.println("usage: caperrudder " + COMMAND);
            System.exit(USAGE);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
        BufferedWriter out =
                new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_CHARS);
        try {
            new SimulatorAdapter(in, out).run();
        } catch (WireFormatException e) {
            System.err.println(e.getMessage());
            System.exit(MALFORMED_INPUT);
        }
    }
}
