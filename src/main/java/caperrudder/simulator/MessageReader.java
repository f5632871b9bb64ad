package caperrudder.simulator;

import caperrudder.settings.Fields;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Reads messages, one a line, and knows the number of the current line. Not thread-safe. */
final class MessageReader {
    private final BufferedReader in;
    private long lineNumber;
    private String line = "";

    MessageReader(BufferedReader in) {
        this.in = in;
    }

    /** Goes on to the next line; false where the input has ended, which counts as a line. */
    boolean next() throws IOException {
        line = in.readLine();
        lineNumber++;
        return line != null;
    }

    /** The number of the current line, counted from 1. */
    long lineNumber() {
        return lineNumber;
    }

    boolean isBlank() {
        return line.isEmpty();
    }

    /** The name of the current line's message. */
    String name() {
        int space = line.indexOf(SimulatorProtocol.FIELD_SEPARATOR);
        return space < 0 ? line : line.substring(0, space);
    }

    /**
     * The fields of the current line's message.
     *
     * @throws WireFormatException where a field has no name or no value
     */
    Fields fields() {
        int space = line.indexOf(SimulatorProtocol.FIELD_SEPARATOR);
        return new Fields(space < 0 ? Map.of() : parse(line.substring(space + 1)));
    }

    /** What is wrong with the current line, to be thrown. */
    WireFormatException error(String problem) {
        return new WireFormatException(lineNumber, problem);
    }

    private Map<String, String> parse(String text) {
        Map<String, String> values = new HashMap<>();
        int start = 0;
        while (start < text.length()) {
            int space = text.indexOf(SimulatorProtocol.FIELD_SEPARATOR, start);
            int end = space < 0 ? text.length() : space;
            int equals = text.indexOf(SimulatorProtocol.VALUE_SEPARATOR, start);
            if (equals <= start || equals >= end) {
                throw error("not a name=value pair: '" + text.substring(start, end) + "'");
            }
            values.put(text.substring(start, equals), text.substring(equals + 1, end));
            start = end + 1;
        }
        return values;
    }
}
