package caperrudder.server.runtime;

/**
 * The one place at which the process writes log lines. A line goes to standard error whole and has the form
 * {@code LEVEL component: message key=value key="value with blanks"}, always on one line.
 *
 * <p>Writing needs neither a file descriptor nor a library that is initialised at the first line, so that a line can
 * be written also when descriptors or memory are exhausted. An instance may be used by any thread.
 */
public final class Log {
    private enum Level {
        INFO,
        WARN,
        ERROR,
        FATAL
    }

    private final String component;

    private Log(String component) {
        this.component = component;
    }

    /** The log of one part of the process, named in each of its lines. */
    public static Log of(String component) {
        return new Log(component);
    }

    /**
     * Something of the normal course that is worth a line.
     *
     * @param fields keys and their values in turn
     */
    public void info(String message, Object... fields) {
        write(Level.INFO, message, fields);
    }

    /** A fault outside of this program, with which it goes on; {@code fields} are keys and values in turn. */
    public void warn(String message, Object... fields) {
        write(Level.WARN, message, fields);
    }

    /** A defect of this program, with which it goes on; {@code fields} are keys and values in turn. */
    public void error(String message, Object... fields) {
        write(Level.ERROR, message, fields);
    }

    /** Why the process ends; {@code fields} are keys and values in turn. */
    public void fatal(String message, Object... fields) {
        write(Level.FATAL, message, fields);
    }

    private void write(Level level, String message, Object[] fields) {
        System.err.println(format(level, message, fields));
    }

    private String format(Level level, String message, Object[] fields) {
        StringBuilder line = new StringBuilder();
        line.append(level).append(' ').append(component).append(": ");
        appendOnOneLine(line, String.valueOf(message), false);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, String.valueOf(fields[i + 1]));
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        appendOnOneLine(line, value, true);
        line.append('"');
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=') {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static void appendOnOneLine(StringBuilder line, String text, boolean quoted) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted && (c == '"' || c == '\\')) {
                line.append('\\');
            }
            line.append(c < ' ' ? ' ' : c);
        }
    }
}
