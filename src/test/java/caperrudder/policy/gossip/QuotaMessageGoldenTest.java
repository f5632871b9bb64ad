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
 * Pins the bytes of the messages between gateways. Gateways of two versions talk to each other during an upgrade, so
 * each golden message has to be decoded to the same fields and encoded to the same bytes by every version.
 */
class QuotaMessageGoldenTest {
    private static final String FILE = "peer-messages.txt";
    private static final byte VERSION = 3;
    private static final int CHECKSUM_AT = 1; // two bytes
    private static final int CHECKED_FROM = 3;
    private static final int COUNT_AT = 15; // of the entries, the last byte of the header
    private static final int HEADER_BYTES = 16;
    private static final String UNDEFINED_FLAGS = "largest-values"; // has flags that its kinds of entry don't define
    private static final int REPORT_FLAGS_AT = HEADER_BYTES;
    private static final int REPLY_FLAGS_AT = REPORT_FLAGS_AT + 23;
    private static final int REPORT_FLAGS = 0b10110; // wants a reply, ceiling units; tells the fullness
    private static final int REPLY_FLAGS = 0b01101; // is a reply, with ceiling units, uncertain

    private static final QuotaEntry REPLICA_REQUESTS =
            new ReplicaReport(5, 0, 1, 2, 1.5, 4, 2.25, 1, OptionalDouble.empty(), true, false);
    private static final QuotaEntry REPLICA_REQUESTS_WITH_VIEW =
            new ReplicaReport(0xAB_1234_5678L, 3, 7, 300, 1000.0625, 0.25, 40, 2, OptionalDouble.of(0.5), true, false);
    private static final QuotaEntry REPLICA_REQUESTS_FOR_CEILING =
            new ReplicaReport(4711, 1, 0, 5, 77.75, 12.5, 3.1875, 0, OptionalDouble.of(-0.25), true, true);
    private static final QuotaEntry REPLICA_REPORTS =
            new ReplicaReport(6, 2, 0, 2, 8, 0, 1, 3, OptionalDouble.empty(), false, false);
    private static final QuotaEntry OWNER_REPLIES =
            new OwnerReply(5, 0, 5.5, 4, 0.5, 6, 0.75, false, OptionalDouble.empty());
    private static final QuotaEntry OWNER_REPLIES_WITH_CEILING =
            new OwnerReply(4711, 1, 90.25, 12.5, 9, 2, -1, false, OptionalDouble.of(20.0625));
    private static final QuotaEntry OWNER_IS_UNCERTAIN =
            new OwnerReply(0xFF_0000_0001L, 2, 0, 0, 0, 0, 1, true, OptionalDouble.empty());
    private static final QuotaEntry OWNER_IS_UNCERTAIN_OF_CEILING =
            new OwnerReply(9, 4, 2, 1, 0.0625, 1, 0, true, OptionalDouble.of(3));

    /** By name, what each golden message says. */
    private static final Map<String, QuotaMessage> MESSAGES = messages();

    /** By name, what was encoded where a field could not hold a value: it is held at its limit or wraps around. */
    private static final Map<String, QuotaMessage> BEYOND_THE_FIELDS = beyondTheFields();

    private static Map<String, QuotaMessage> messages() {
        Map<String, QuotaMessage> all = new LinkedHashMap<>();
        all.put("empty", new QuotaMessage(1, 0, 1, 0, List.of()));
        all.put("replica-asks", new QuotaMessage(1_700_000_000, 1_600_000_000, 2, 1, List.of(REPLICA_REQUESTS)));
        all.put("replica-asks-with-view", new QuotaMessage(-2, 17, 300, 299, List.of(REPLICA_REQUESTS_WITH_VIEW)));
        all.put("replica-asks-for-ceiling", new QuotaMessage(100, 200, 3, 4, List.of(REPLICA_REQUESTS_FOR_CEILING)));
        all.put("replica-reports", new QuotaMessage(100, 200, 4, 4, List.of(REPLICA_REPORTS)));
        all.put("owner-answers", new QuotaMessage(200, 100, 5, 3, List.of(OWNER_REPLIES)));
        all.put("owner-answers-with-ceiling", new QuotaMessage(200, 100, 6, 3, List.of(OWNER_REPLIES_WITH_CEILING)));
        all.put("owner-is-unsure", new QuotaMessage(200, 0, 1, 3, List.of(OWNER_IS_UNCERTAIN)));
        all.put("owner-is-unsure-of-ceiling", new QuotaMessage(200, 0, 2, 3, List.of(OWNER_IS_UNCERTAIN_OF_CEILING)));
        all.put(
                "several-entries",
                new QuotaMessage(
                        300,
                        400,
                        7,
                        8,
                        List.of(OWNER_REPLIES_WITH_CEILING, REPLICA_REQUESTS_WITH_VIEW, OWNER_IS_UNCERTAIN)));
        all.put(
                "eight-entries",
                new QuotaMessage(300, 400, 8, 8, Collections.nCopies(8, REPLICA_REQUESTS_FOR_CEILING)));
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

    private static Map<String, QuotaMessage> beyondTheFields() {
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

    private static byte[] golden(String name) {
        String hex = GoldenFiles.hexByName(FILE).get(name);
        assertNotNull(hex, name);
        return HexFormat.of().parseHex(hex);
    }

    /**
     * The golden message without flags that its kinds of entry don't define: no version has sent them. They are
     * ignored when read, and so not written again.
     */
    private static byte[] withDefinedFlags(String name) {
        byte[] message = golden(name);
        if (!name.equals(UNDEFINED_FLAGS)) return message;
        message[REPORT_FLAGS_AT] &= REPORT_FLAGS;
        message[REPLY_FLAGS_AT] &= REPLY_FLAGS;
        return sealed(message);
    }

    static Stream<String> names() {
        return MESSAGES.keySet().stream();
    }

    static Stream<String> namesBeyondTheFields() {
        return BEYOND_THE_FIELDS.keySet().stream();
    }

    /** The message with the checksum that its bytes have to carry, computed apart from the program. */
    private static byte[] sealed(byte[] message) {
        byte[] sealed = message.clone();
        CRC32 sum = new CRC32();
        sum.update(sealed, 0, CHECKSUM_AT);
        sum.update(sealed, CHECKED_FROM, sealed.length - CHECKED_FROM);
        sealed[CHECKSUM_AT] = (byte) (sum.getValue() >>> 8);
        sealed[CHECKSUM_AT + 1] = (byte) sum.getValue();
        return sealed;
    }

    @Test
    void everyGoldenMessageIsKnownHere() {
        assertEquals(
                List.copyOf(MESSAGES.keySet()),
                List.copyOf(GoldenFiles.hexByName(FILE).keySet()));
        assertEquals(Set.of("largest-values", "smallest-values", "rounded-values"), BEYOND_THE_FIELDS.keySet());
    }

    @ParameterizedTest
    @MethodSource("names")
    void goldenMessageIsDecodedToItsFieldsAndEncodedToItsBytes(String name) {
        byte[] golden = golden(name);
        assertEquals(Optional.of(MESSAGES.get(name)), QuotaMessageCodec.decode(golden));
        assertArrayEquals(withDefinedFlags(name), QuotaMessageCodec.encode(MESSAGES.get(name)));
        assertArrayEquals(golden, sealed(golden), "version, checksum and what it covers");
        assertEquals(VERSION, golden[0]);
        assertEquals(MESSAGES.get(name).entries().size(), golden[COUNT_AT]);
    }

    @ParameterizedTest
    @MethodSource("namesBeyondTheFields")
    void valuesThatAFieldCannotHoldAreEncodedAsInTheGoldenMessage(String name) {
        assertArrayEquals(withDefinedFlags(name), QuotaMessageCodec.encode(BEYOND_THE_FIELDS.get(name)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void truncatedOrLongerMessageIsRejected(String name) {
        byte[] golden = golden(name);
        for (int length = 0; length < golden.length; length++) {
            byte[] torn = Arrays.copyOf(golden, length);
            assertEquals(Optional.empty(), QuotaMessageCodec.decode(torn), "first " + length + " bytes");
            if (length >= HEADER_BYTES)
                assertEquals(
                        Optional.empty(), QuotaMessageCodec.decode(sealed(torn)), "first " + length + " bytes, sealed");
        }
        byte[] longer = Arrays.copyOf(golden, golden.length + 1);
        assertEquals(Optional.empty(), QuotaMessageCodec.decode(longer));
        assertEquals(Optional.empty(), QuotaMessageCodec.decode(sealed(longer)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void messageWithOneDamagedBitIsRejected(String name) {
        byte[] golden = golden(name);
        for (int bit = 0; bit < golden.length * Byte.SIZE; bit++) {
            byte[] damaged = golden.clone();
            damaged[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertEquals(Optional.empty(), QuotaMessageCodec.decode(damaged), "bit " + bit);
        }
    }

    @Test
    void flagsThatAKindOfEntryDoesNotDefineAreIgnored() {
        byte[] message = withDefinedFlags(UNDEFINED_FLAGS);
        assertFalse(Arrays.equals(golden(UNDEFINED_FLAGS), message));
        assertEquals(Optional.of(MESSAGES.get(UNDEFINED_FLAGS)), QuotaMessageCodec.decode(message));
    }

    @Test
    void messageOfAnotherVersionIsRejected() {
        for (int version = Byte.MIN_VALUE; version <= Byte.MAX_VALUE; version++) {
            byte[] other = golden("several-entries");
            other[0] = (byte) version;
            if (version == VERSION)
                assertTrue(QuotaMessageCodec.decode(sealed(other)).isPresent());
            else assertEquals(Optional.empty(), QuotaMessageCodec.decode(sealed(other)), "version " + version);
        }
    }

    @Test
    void messageWithAnotherCountOfEntriesIsRejected() {
        for (int count = 0; count <= 0xff; count++) {
            byte[] other = golden("several-entries");
            other[COUNT_AT] = (byte) count;
            if (count == 3) assertTrue(QuotaMessageCodec.decode(sealed(other)).isPresent());
            else assertEquals(Optional.empty(), QuotaMessageCodec.decode(sealed(other)), count + " entries");
        }
    }
}
