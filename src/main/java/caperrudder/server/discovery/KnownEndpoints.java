package caperrudder.server.discovery;

import caperrudder.server.config.GatewayConfig.KnownEndpointsReader;
import caperrudder.server.runtime.Log;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;

/**
 * The endpoint list that a configuration gives a process to start with. Read without a tree of its text; one that takes
 * more memory than there is for it is rejected with a log line, and the process starts without.
 */
public final class KnownEndpoints implements KnownEndpointsReader {
    private static final Log LOG = Log.of("config");

    private Optional<EndpointList> list = Optional.empty();

    /** The list that was read last; empty where there was none, or one that was rejected. */
    public Optional<EndpointList> list() {
        return list;
    }

    @Override
    public void read(JsonParser parser) throws IOException {
        list = Optional.empty(); // of two fields of one name the later one holds
        long fromByte = parser.currentTokenLocation().getByteOffset();
        int depth = parser.getParsingContext().getNestingDepth();
        try {
            list = EndpointListParser.parse(parser, EndpointListParser.maxBytes());
        } catch (EndpointListTooLongException e) {
            skipToEnd(parser, depth);
            long bytes = parser.currentLocation().getByteOffset() - fromByte;
            LOG.warn("endpoint list in 'known' rejected", "bytes", bytes, "reason", e.getMessage());
        }
    }

    /** To the closing bracket of the value that began at {@code depth}. */
    private static void skipToEnd(JsonParser parser, int depth) throws IOException {
        JsonToken token = parser.currentToken();
        while (token != null
                && !(token.isStructEnd() && parser.getParsingContext().getNestingDepth() < depth)) {
            token = parser.nextToken();
        }
    }
}
