package caperrudder.simulator;

import caperrudder.settings.FieldValues;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Reads messages, one per line, and counts the lines. Not thread-safe. */
final class MessageReader {
    private final BufferedReader input;
    private long lineNumber;
    private String line = "";

    MessageReader(BufferedReader input) {
        this.input = input;
    }

    /** Advances to the next line and returns whether there is one. The end of the input is counted as a line. */
    boolean readNextLine() throws IOException {
        line = input.readLine();
        lineNumber++;
        return line != null;
    }

    /** Returns the number of the current line, counted from 1. */
    long lineNumber() {
        return lineNumber;
    }

    /** Returns whether the current line is empty. */
    boolean isLineEmpty() {
        return line.isEmpty();
    }

    /** Returns the name of the message on the current line. */
    String messageName() {
        int fieldSeparator = line.indexOf(SimulatorProtocol.FIELD_SEPARATOR);
        return fieldSeparator < 0 ? line : line.substring(0, fieldSeparator);
    }

    /**
     * Returns the fields of the message on the current line.
     *
     * @throws WireFormatException if a field has no name or no value separator; its value may be empty
     */
    FieldValues fields() {
        int fieldSeparator = line.indexOf(SimulatorProtocol.FIELD_SEPARATOR);
        return new FieldValues(fieldSeparator < 0 ? Map.of() : parse(line.substring(fieldSeparator + 1)));
    }

    /** Creates an exception for the current line. */
    WireFormatException malformedLine(String problem) {
        return new WireFormatException(lineNumber, problem);
    }

    private Map<String, String> parse(String text) {
        Map<String, String> values = new HashMap<>();
        int start = 0;
        while (start < text.length()) {
            int fieldSeparator = text.indexOf(SimulatorProtocol.FIELD_SEPARATOR, start);
            int end = fieldSeparator < 0 ? text.length() : fieldSeparator;
            int valueSeparator = text.indexOf(SimulatorProtocol.VALUE_SEPARATOR, start);
            if (valueSeparator <= start || valueSeparator >= end) {
                throw malformedLine("not a name=value pair: '" + text.substring(start, end) + "'");
            }
            values.put(text.substring(start, valueSeparator), text.substring(valueSeparator + 1, end));
            start = end + 1;
        }
        return values;
    }
}
