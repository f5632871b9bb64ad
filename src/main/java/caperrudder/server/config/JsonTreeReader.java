package caperrudder.server.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.ValueNode;
import java.io.IOException;
import java.io.InputStream;

/**
 * Reads JSON text into a tree from the parser's tokens. The library's own mapper does the same and much else, for which
 * it sets up date formats, locales and introspection: a quarter of the processor time of a start. Has no state; safe
 * for any thread.
 */
public final class JsonTreeReader {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTreeReader() {}

    /** Reads fields of the outermost object that are not to become part of its tree. */
    @FunctionalInterface
    public interface FieldReader {
        /**
         * Reads the value of a field, or leaves it to the tree.
         *
         * @param parser stands at the first token of the value; where the value is read it is left at the last one
         * @return whether the value was read
         */
        boolean read(String field, JsonParser parser) throws IOException;
    }

    /**
     * The first value of the text; a missing node where there is none. The parser bounds how deep it may nest.
     *
     * @throws IOException where the text can't be read or is no JSON
     */
    public static JsonNode read(InputStream text) throws IOException {
        return read(text, (field, parser) -> false);
    }

    /** As {@link #read(InputStream)}, but for the fields that {@code fieldReader} takes. */
    public static JsonNode read(InputStream text, FieldReader fieldReader) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                return MissingNode.getInstance();
            }
            return first == JsonToken.START_OBJECT ? object(parser, fieldReader) : value(parser, first);
        }
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        if (token == null) {
            throw new JsonParseException(parser, "the text ends inside a value");
        }
        return switch (token) {
            case START_OBJECT -> object(parser, (field, at) -> false);
            case START_ARRAY -> array(parser);
            default -> scalar(parser, token);
        };
    }

    /**
     * The value of one token that is neither a bracket nor a field's name.
     *
     * @throws IOException where the token is one of those
     */
    public static ValueNode scalar(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? NODES.numberNode(parser.getBigIntegerValue())
                    : NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "unexpected " + token);
        };
    }

    private static ObjectNode object(JsonParser parser, FieldReader fieldReader) throws IOException {
        ObjectNode object = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            JsonToken first = parser.nextToken();
            if (first == null || !fieldReader.read(name, parser)) {
                object.set(name, value(parser, first));
            }
        }
        return object;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            array.add(value(parser, token));
        }
        return array;
    }
}
