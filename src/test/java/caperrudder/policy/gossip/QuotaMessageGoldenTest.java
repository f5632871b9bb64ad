package caperrudder.policy.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.policy.GoldenFiles;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares encoded and decoded quota messages with golden files. During an upgrade gateways of two releases exchange
 * messages, so the encoding must not change.
 */
class QuotaMessageGoldenTest {
    private static final String GOLDEN_FILE = "peer-messages.txt";
    private static final byte VERSION = 3;
    private static final int CHECKSUM_OFFSET = 1; // two bytes
    private static final int AFTER_CHECKSUM_OFFSET = 3;
    private static final int ENTRY_COUNT_OFFSET = 15; // last byte of the header
    private static final int HEADER_BYTES = 16;
    private static final String UNDEFINED_FLAGS_MESSAGE = "largest-values"; // has undefined flags set in both entries
    private static final int REPORT_BYTES = 23; // of a report with a fill ratio
    private static final int REPORT_FLAGS_OFFSET = HEADER_BYTES;
    private static final int REPLY_FLAGS_OFFSET = REPORT_FLAGS_OFFSET + REPORT_BYTES;
    private static final int DEFINED_REPORT_FLAGS = 0b10110; // wants a reply, wants ceiling units, has a fill ratio
    private static final int DEFINED_REPLY_FLAGS = 0b01101; // is a reply, has ceiling units, is uncertain

    private static final QuotaEntry REPORT_WANTING_UNITS =
            new ReplicaReport(5, 0, 1, 2, 1.5, 4, 2.25, 1, OptionalDouble.empty(), true, false);
    private static final QuotaEntry REPORT_WITH_FILL_RATIO =
            new ReplicaReport(0xAB_1234_5678L, 3, 7, 300, 1000.0625, 0.25, 40, 2, OptionalDouble.of(0.5), true, false);
    private static final QuotaEntry REPORT_WANTING_CEILING_UNITS =
            new ReplicaReport(4711, 1, 0, 5, 77.75, 12.5, 3.1875, 0, OptionalDouble.of(-0.25), true, true);
    private static final QuotaEntry REPORT_WITHOUT_REPLY =
            new ReplicaReport(6, 2, 0, 2, 8, 0, 1, 3, OptionalDouble.empty(), false, false);
    private static final QuotaEntry REPLY_WITHOUT_CEILING =
            new OwnerReply(5, 0, 5.5, 4, 0.5, 6, 0.75, false, OptionalDouble.empty());
    private static final QuotaEntry REPLY_WITH_CEILING =
            new OwnerReply(4711, 1, 90.25, 12.5, 9, 2, -1, false, OptionalDouble.of(20.0625));
    private static final QuotaEntry UNCERTAIN_REPLY =
            new OwnerReply(0xFF_0000_0001L, 2, 0, 0, 0, 0, 1, true, OptionalDouble.empty());
    private static final QuotaEntry UNCERTAIN_REPLY_WITH_CEILING =
            new OwnerReply(9, 4, 2, 1, 0.0625, 1, 0, true, OptionalDouble.of(3));

    /** The decoded fields of each golden message, by name. */
    private static final Map<String, QuotaMessage> MESSAGES = messages();

    /** Messages with values outside the range of their fields, by the name of the golden message that encodes them. */
    private static final Map<String, QuotaMessage> OUT_OF_RANGE_MESSAGES = outOfRangeMessages();

    private static Map<String, QuotaMessage> messages() {
        Map<String, QuotaMessage> all = new LinkedHashMap<>();
        all.put("empty", new QuotaMessage(1, 0, 1, 0, List.of()));
        all.put("replica-asks", new QuotaMessage(1_700_000_000, 1_600_000_000, 2, 1, List.of(REPORT_WANTING_UNITS)));
        all.put("replica-asks-with-view", new QuotaMessage(-2, 17, 300, 299, List.of(REPORT_WITH_FILL_RATIO)));
        all.put("replica-asks-for-ceiling", new QuotaMessage(100, 200, 3, 4, List.of(REPORT_WANTING_CEILING_UNITS)));
        all.put("replica-reports", new QuotaMessage(100, 200, 4, 4, List.of(REPORT_WITHOUT_REPLY)));
        all.put("owner-answers", new QuotaMessage(200, 100, 5, 3, List.of(REPLY_WITHOUT_CEILING)));
        all.put("owner-answers-with-ceiling", new QuotaMessage(200, 100, 6, 3, List.of(REPLY_WITH_CEILING)));
        all.put("owner-is-unsure", new QuotaMessage(200, 0, 1, 3, List.of(UNCERTAIN_REPLY)));
        all.put("owner-is-unsure-of-ceiling", new QuotaMessage(200, 0, 2, 3, List.of(UNCERTAIN_REPLY_WITH_CEILING)));
        all.put(
                "several-entries",
                new QuotaMessage(300, 400, 7, 8, List.of(REPLY_WITH_CEILING, REPORT_WITH_FILL_RATIO, UNCERTAIN_REPLY)));
        all.put(
                "eight-entries",
                new QuotaMessage(300, 400, 8, 8, Collections.nCopies(8, REPORT_WANTING_CEILING_UNITS)));
        all.put(
                "largest-values",
                new QuotaMessage(
                        -1,
                        Integer.MAX_VALUE,
                        0xffff,
                        0xffff,
                        List.of(
                                new ReplicaReport(
                                        0xFF_FFFF_FFFFL,
                                        255,
                                        0xffff,
                                        0xffff,
                                        134217727.9375,
                                        4095.9375,
                                        4095.9375,
                                        0xffff,
                                        OptionalDouble.of(1),
                                        true,
                                        true),
                                new OwnerReply(
                                        0xFF_FFFF_FFFFL,
                                        255,
                                        134217727.9375,
                                        4095.9375,
                                        4095.9375,
                                        0xffff,
                                        1,
                                        true,
                                        OptionalDouble.of(134217727.9375)))));
        all.put(
                "smallest-values",
                new QuotaMessage(
                        Integer.MIN_VALUE,
                        0,
                        0,
                        0,
                        List.of(
                                new ReplicaReport(0, 0, 0, 0, -134217728, 0, 0, 0, OptionalDouble.of(-1), false, false),
                                new OwnerReply(0, 0, -0.0625, 0, 0, 0, -1, false, OptionalDouble.of(-134217728)))));
        all.put(
                "rounded-values",
                new QuotaMessage(
                        1,
                        1,
                        1,
                        1,
                        List.of(new ReplicaReport(
                                1,
                                1,
                                1,
                                1,
                                0.125,
                                0.0625,
                                0.3125,
                                1,
                                OptionalDouble.of(10000 / 30000.0),
                                false,
                                false))));
        return all;
    }

    private static Map<String, QuotaMessage> outOfRangeMessages() {
        Map<String, QuotaMessage> all = new LinkedHashMap<>();
        all.put(
                "largest-values",
                new QuotaMessage(
                        -1,
                        Integer.MAX_VALUE,
                        0x5ffff,
                        -1,
                        List.of(
                                new ReplicaReport(
                                        -1,
                                        0x3ff,
                                        -1,
                                        0x1ffff,
                                        402653183.9375,
                                        4096,
                                        1e9,
                                        70_000,
                                        OptionalDouble.of(1.5),
                                        true,
                                        true),
                                new OwnerReply(
                                        0x7FFF_FFFF_FFFFL,
                                        -1,
                                        -134217728.0625,
                                        Double.MAX_VALUE,
                                        Double.POSITIVE_INFINITY,
                                        Integer.MAX_VALUE,
                                        Double.POSITIVE_INFINITY,
                                        true,
                                        OptionalDouble.of(134217727.9375)))));
        all.put(
                "smallest-values",
                new QuotaMessage(
                        Integer.MIN_VALUE,
                        0,
                        0x10000,
                        0x20000,
                        List.of(
                                new ReplicaReport(
                                        0x100_0000_0000L,
                                        256,
                                        0x10000,
                                        0x10000,
                                        134217728,
                                        -1,
                                        Double.NaN,
                                        -5,
                                        OptionalDouble.of(-1.5),
                                        false,
                                        false),
                                new OwnerReply(
                                        0,
                                        0,
                                        -0.0625,
                                        Double.NEGATIVE_INFINITY,
                                        -0.01,
                                        Integer.MIN_VALUE,
                                        -12,
                                        false,
                                        OptionalDouble.of(134217728))))); // wraps around
        all.put(
                "rounded-values",
                new QuotaMessage(
                        1,
                        1,
                        1,
                        1,
                        List.of(new ReplicaReport(
                                1, 1, 1, 1, 0.1, 0.04, 0.3, 1, OptionalDouble.of(1 / 3.0), false, false))));
        return all;
    }

    private static byte[] goldenBytes(String name) {
        String hex = GoldenFiles.hexByName(GOLDEN_FILE).get(name);
        assertNotNull(hex, name);
        return HexFormat.of().parseHex(hex);
    }

    /**
     * Returns the golden message without the flags that its entry types do not define. No release has sent such flags.
     * Decoding ignores them, so encoding does not write them again.
     */
    private static byte[] withDefinedFlags(String name) {
        byte[] message = goldenBytes(name);
        if (!name.equals(UNDEFINED_FLAGS_MESSAGE)) return message;
        message[REPORT_FLAGS_OFFSET] &= DEFINED_REPORT_FLAGS;
        message[REPLY_FLAGS_OFFSET] &= DEFINED_REPLY_FLAGS;
        return withChecksum(message);
    }

    static Stream<String> messageNames() {
        return MESSAGES.keySet().stream();
    }

    static Stream<String> outOfRangeMessageNames() {
        return OUT_OF_RANGE_MESSAGES.keySet().stream();
    }

    /** Returns the message with the correct checksum, computed independently of the codec. */
    private static byte[] withChecksum(byte[] message) {
        byte[] result = message.clone();
        CRC32 crc = new CRC32();
        crc.update(result, 0, CHECKSUM_OFFSET);
        crc.update(result, AFTER_CHECKSUM_OFFSET, result.length - AFTER_CHECKSUM_OFFSET);
        result[CHECKSUM_OFFSET] = (byte) (crc.getValue() >>> 8);
        result[CHECKSUM_OFFSET + 1] = (byte) crc.getValue();
        return result;
    }

    @Test
    void goldenFileHasExactlyTheExpectedMessages() {
        assertEquals(
                List.copyOf(MESSAGES.keySet()),
                List.copyOf(GoldenFiles.hexByName(GOLDEN_FILE).keySet()));
        assertEquals(Set.of("largest-values", "smallest-values", "rounded-values"), OUT_OF_RANGE_MESSAGES.keySet());
    }

    @ParameterizedTest
    @MethodSource("messageNames")
    void goldenMessageDecodesToItsFieldsAndEncodesToItsBytes(String name) {
        byte[] golden = goldenBytes(name);
        assertEquals(Optional.of(MESSAGES.get(name)), QuotaMessageCodec.decode(golden));
        assertArrayEquals(withDefinedFlags(name), QuotaMessageCodec.encode(MESSAGES.get(name)));
        assertArrayEquals(golden, withChecksum(golden), "checksum of the golden message");
        assertEquals(VERSION, golden[0]);
        assertEquals(MESSAGES.get(name).entries().size(), golden[ENTRY_COUNT_OFFSET]);
    }

    @ParameterizedTest
    @MethodSource("outOfRangeMessageNames")
    void outOfRangeValuesAreClampedOrWrapAroundAsInTheGoldenMessage(String name) {
        assertArrayEquals(withDefinedFlags(name), QuotaMessageCodec.encode(OUT_OF_RANGE_MESSAGES.get(name)));
    }

    @ParameterizedTest
    @MethodSource("messageNames")
    void truncatedOrLongerMessageIsRejected(String name) {
        byte[] golden = goldenBytes(name);
        for (int length = 0; length < golden.length; length++) {
            byte[] truncated = Arrays.copyOf(golden, length);
            assertEquals(Optional.empty(), QuotaMessageCodec.decode(truncated), "first " + length + " bytes");
            if (length >= HEADER_BYTES)
                assertEquals(
                        Optional.empty(),
                        QuotaMessageCodec.decode(withChecksum(truncated)),
                        "first " + length + " bytes, correct checksum");
        }
        byte[] extended = Arrays.copyOf(golden, golden.length + 1);
        assertEquals(Optional.empty(), QuotaMessageCodec.decode(extended));
        assertEquals(Optional.empty(), QuotaMessageCodec.decode(withChecksum(extended)));
    }

    @ParameterizedTest
    @MethodSource("messageNames")
    void messageWithOneDamagedBitIsRejected(String name) {
        byte[] golden = goldenBytes(name);
        for (int bit = 0; bit < golden.length * Byte.SIZE; bit++) {
            byte[] damaged = golden.clone();
            damaged[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertEquals(Optional.empty(), QuotaMessageCodec.decode(damaged), "bit " + bit);
        }
    }

    @Test
    void undefinedFlagsAreIgnored() {
        byte[] message = withDefinedFlags(UNDEFINED_FLAGS_MESSAGE);
        assertFalse(Arrays.equals(goldenBytes(UNDEFINED_FLAGS_MESSAGE), message));
        assertEquals(Optional.of(MESSAGES.get(UNDEFINED_FLAGS_MESSAGE)), QuotaMessageCodec.decode(message));
    }

    @Test
    void messageOfAnotherVersionIsRejected() {
        for (int version = Byte.MIN_VALUE; version <= Byte.MAX_VALUE; version++) {
            byte[] other = goldenBytes("several-entries");
            other[0] = (byte) version;
            if (version == VERSION)
                assertTrue(QuotaMessageCodec.decode(withChecksum(other)).isPresent());
            else assertEquals(Optional.empty(), QuotaMessageCodec.decode(withChecksum(other)), "version " + version);
        }
    }

    @Test
    void messageWithWrongEntryCountIsRejected() {
        for (int count = 0; count <= 0xff; count++) {
            byte[] other = goldenBytes("several-entries");
            other[ENTRY_COUNT_OFFSET] = (byte) count;
            if (count == 3)
                assertTrue(QuotaMessageCodec.decode(withChecksum(other)).isPresent());
            else assertEquals(Optional.empty(), QuotaMessageCodec.decode(withChecksum(other)), count + " entries");
        }
    }
}
