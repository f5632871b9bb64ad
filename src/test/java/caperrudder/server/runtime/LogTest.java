package caperrudder.server.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The form of a log line. */
class LogTest {
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final Log log = Log.of("part");

    @BeforeEach
    void captureStandardError() {
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreStandardError() {
        System.setErr(standardError);
    }

    private void assertWritten(String line) {
        assertEquals(line + System.lineSeparator(), written.toString(StandardCharsets.UTF_8));
    }

    @Test
    void lineNamesLevelComponentMessageAndFields() {
        log.info("warmed up", "answers", 60, "host", "h1");
        assertWritten("INFO part: warmed up answers=60 host=h1");
    }

    @Test
    void valueWithBlanksOrQuotesIsQuoted() {
        log.warn("poll failed", "reason", "no \"list\" a=b", "host", "");
        assertWritten("WARN part: poll failed reason=\"no \\\"list\\\" a=b\" host=\"\"");
    }

    @Test
    void lineBreaksInMessageAndValueBecomeBlanks() {
        log.error("first\nsecond", "cause", "a\r\nb");
        assertWritten("ERROR part: first second cause=\"a  b\"");
    }

    @Test
    void absentValueIsWrittenAsNull() {
        log.fatal("can't continue", "cause", null);
        assertWritten("FATAL part: can't continue cause=null");
    }
}
