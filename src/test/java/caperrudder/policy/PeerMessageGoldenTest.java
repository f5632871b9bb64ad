package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
class PeerMessageGoldenTest {
    private static final String FILE = "peer-messages.txt";
    private static final byte VERSION = 3;
    private static final int CHECKSUM_AT = 1; // two bytes
    private static final int CHECKED_FROM = 3;
    private static final int COUNT_AT = 15; // of the entries, the last byte of the head
    private static final int HEAD_BYTES = 16;

    private static final QuotaMessage.Entry REPLICA_ASKS =
            new QuotaMessage.Entry(false, true, false, false, false, 5, 0, 1, 2, 1.5, 4, 2.25, 0, 1, 0);
    private static final QuotaMessage.Entry REPLICA_ASKS_WITH_VIEW = new QuotaMessage.Entry(
            false, true, false, false, true, 0xAB_1234_5678L, 3, 7, 300, 1000.0625, 0.25, 40, 0.5, 2, 0);
    private static final QuotaMessage.Entry REPLICA_ASKS_FOR_CEILING =
            new QuotaMessage.Entry(false, true, true, false, true, 4711, 1, 0, 5, 77.75, 12.5, 3.1875, -0.25, 0, 0);
    private static final QuotaMessage.Entry REPLICA_REPORTS =
            new QuotaMessage.Entry(false, false, false, false, false, 6, 2, 0, 2, 8, 0, 1, 0, 3, 0);
    private static final QuotaMessage.Entry OWNER_ANSWERS =
            new QuotaMessage.Entry(true, false, false, false, false, 5, 0, 0, 0, 5.5, 4, 0.5, 0.75, 6, 0);
    private static final QuotaMessage.Entry OWNER_ANSWERS_WITH_CEILING =
            new QuotaMessage.Entry(true, false, true, false, false, 4711, 1, 0, 0, 90.25, 12.5, 9, -1, 2, 20.0625);
    private static final QuotaMessage.Entry OWNER_IS_UNSURE =
            new QuotaMessage.Entry(true, false, false, true, false, 0xFF_0000_0001L, 2, 0, 0, 0, 0, 0, 1, 0, 0);
    private static final QuotaMessage.Entry OWNER_IS_UNSURE_OF_CEILING =
            new QuotaMessage.Entry(true, false, true, true, false, 9, 4, 0, 0, 2, 1, 0.0625, 0, 1, 3);

    /** By name, what each golden message says. */
    private static final Map<String, QuotaMessage> MESSAGES = messages();

    /** By name, what was encoded where a field could not hold a value: it is held at its limit or runs over. */
    private static final Map<String, QuotaMessage> BEYOND_THE_FIELDS = beyondTheFields();

    private static Map<String, QuotaMessage> messages() {
        Map<String, QuotaMessage> all = new LinkedHashMap<>();
        all.put("empty", new QuotaMessage(1, 0, 1, 0, List.of()));
        all.put("replica-asks", new QuotaMessage(1_700_000_000, 1_600_000_000, 2, 1, List.of(REPLICA_ASKS)));
        all.put("replica-asks-with-view", new QuotaMessage(-2, 17, 300, 299, List.of(REPLICA_ASKS_WITH_VIEW)));
        all.put("replica-asks-for-ceiling", new QuotaMessage(100, 200, 3, 4, List.of(REPLICA_ASKS_FOR_CEILING)));
        all.put("replica-reports", new QuotaMessage(100, 200, 4, 4, List.of(REPLICA_REPORTS)));
        all.put("owner-answers", new QuotaMessage(200, 100, 5, 3, List.of(OWNER_ANSWERS)));
        all.put("owner-answers-with-ceiling", new QuotaMessage(200, 100, 6, 3, List.of(OWNER_ANSWERS_WITH_CEILING)));
        all.put("owner-is-unsure", new QuotaMessage(200, 0, 1, 3, List.of(OWNER_IS_UNSURE)));
        all.put("owner-is-unsure-of-ceiling", new QuotaMessage(200, 0, 2, 3, List.of(OWNER_IS_UNSURE_OF_CEILING)));
        all.put(
                "several-entries",
                new QuotaMessage(
                        300, 400, 7, 8, List.of(OWNER_ANSWERS_WITH_CEILING, REPLICA_ASKS_WITH_VIEW, OWNER_IS_UNSURE)));
        all.put("eight-entries", new QuotaMessage(300, 400, 8, 8, Collections.nCopies(8, REPLICA_ASKS_FOR_CEILING)));
        all.put(
                "largest-values",
                new QuotaMessage(
                        -1,
                        Integer.MAX_VALUE,
                        0xffff,
                        0xffff,
                        List.of(
                                new QuotaMessage.Entry(
                                        false,
                                        true,
                                        true,
                                        true,
                                        true,
                                        0xFF_FFFF_FFFFL,
                                        255,
                                        0xffff,
                                        0xffff,
                                        134217727.9375,
                                        4095.9375,
                                        4095.9375,
                                        1,
                                        0xffff,
                                        0),
                                new QuotaMessage.Entry(
                                        true,
                                        true,
                                        true,
                                        true,
                                        true,
                                        0xFF_FFFF_FFFFL,
                                        255,
                                        0,
                                        0,
                                        134217727.9375,
                                        4095.9375,
                                        4095.9375,
                                        1,
                                        0xffff,
                                        134217727.9375))));
        all.put(
                "smallest-values",
                new QuotaMessage(
                        Integer.MIN_VALUE,
                        0,
                        0,
                        0,
                        List.of(
                                new QuotaMessage.Entry(
                                        false, false, false, false, true, 0, 0, 0, 0, -134217728, 0, 0, -1, 0, 0),
                                new QuotaMessage.Entry(
                                        true,
                                        false,
                                        true,
                                        false,
                                        false,
                                        0,
                                        0,
                                        0,
                                        0,
                                        -0.0625,
                                        0,
                                        0,
                                        -1,
                                        0,
                                        -134217728))));
        all.put(
                "rounded-values",
                new QuotaMessage(
                        1,
                        1,
                        1,
                        1,
                        List.of(new QuotaMessage.Entry(
                                false,
                                false,
                                false,
                                false,
                                true,
                                1,
                                1,
                                1,
                                1,
                                0.125,
                                0.0625,
                                0.3125,
                                10000 / 30000.0,
                                1,
                                0))));
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
                                new QuotaMessage.Entry(
                                        false,
                                        true,
                                        true,
                                        true,
                                        true,
                                        -1,
                                        0x3ff,
                                        -1,
                                        0x1ffff,
                                        402653183.9375, // runs over once
                                        4096,
                                        1e9,
                                        1.5,
                                        70_000,
                                        99),
                                new QuotaMessage.Entry(
                                        true,
                                        true,
                                        true,
                                        true,
                                        true,
                                        0x7FFF_FFFF_FFFFL,
                                        -1,
                                        11,
                                        12,
                                        -134217728.0625, // runs over backwards
                                        Double.MAX_VALUE,
                                        Double.POSITIVE_INFINITY,
                                        Double.POSITIVE_INFINITY,
                                        Integer.MAX_VALUE,
                                        134217727.9375))));
        all.put(
                "smallest-values",
                new QuotaMessage(
                        Integer.MIN_VALUE,
                        0,
                        0x10000,
                        0x20000,
                        List.of(
                                new QuotaMessage.Entry(
                                        false,
                                        false,
                                        false,
                                        false,
                                        true,
                                        0x100_0000_0000L,
                                        256,
                                        0x10000,
                                        0x10000,
                                        134217728, // runs over
                                        -1,
                                        Double.NaN,
                                        -1.5,
                                        -5,
                                        0),
                                new QuotaMessage.Entry(
                                        true,
                                        false,
                                        true,
                                        false,
                                        false,
                                        0,
                                        0,
                                        0,
                                        0,
                                        -0.0625,
                                        Double.NEGATIVE_INFINITY,
                                        -0.01,
                                        -12,
                                        Integer.MIN_VALUE,
                                        134217728)))); // runs over
        all.put(
                "rounded-values",
                new QuotaMessage(
                        1,
                        1,
                        1,
                        1,
                        List.of(new QuotaMessage.Entry(
                                false, false, false, false, true, 1, 1, 1, 1, 0.1, 0.04, 0.3, 1 / 3.0, 1, 0))));
        return all;
    }

    private static byte[] golden(String name) {
        String hex = GoldenFiles.hexByName(FILE).get(name);
        assertNotNull(hex, name);
        return HexFormat.of().parseHex(hex);
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
    void aGoldenMessageIsDecodedToItsFieldsAndEncodedToItsBytes(String name) {
        byte[] golden = golden(name);
        assertEquals(MESSAGES.get(name), QuotaMessage.read(golden));
        assertArrayEquals(golden, MESSAGES.get(name).bytes());
        assertArrayEquals(golden, sealed(golden), "version, checksum and what it covers");
        assertEquals(VERSION, golden[0]);
        assertEquals(MESSAGES.get(name).entries().size(), golden[COUNT_AT]);
    }

    @ParameterizedTest
    @MethodSource("namesBeyondTheFields")
    void valuesThatAFieldCannotHoldAreEncodedAsInTheGoldenMessage(String name) {
        assertArrayEquals(golden(name), BEYOND_THE_FIELDS.get(name).bytes());
    }

    @ParameterizedTest
    @MethodSource("names")
    void aTornOrLongerMessageIsRejected(String name) {
        byte[] golden = golden(name);
        for (int length = 0; length < golden.length; length++) {
            byte[] torn = Arrays.copyOf(golden, length);
            assertNull(QuotaMessage.read(torn), "first " + length + " bytes");
            if (length >= HEAD_BYTES) assertNull(QuotaMessage.read(sealed(torn)), "first " + length + " bytes, sealed");
        }
        byte[] longer = Arrays.copyOf(golden, golden.length + 1);
        assertNull(QuotaMessage.read(longer));
        assertNull(QuotaMessage.read(sealed(longer)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aMessageWithOneDamagedBitIsRejected(String name) {
        byte[] golden = golden(name);
        for (int bit = 0; bit < golden.length * Byte.SIZE; bit++) {
            byte[] damaged = golden.clone();
            damaged[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertNull(QuotaMessage.read(damaged), "bit " + bit);
        }
    }

    @Test
    void aMessageOfAnotherVersionIsRejected() {
        for (int version = Byte.MIN_VALUE; version <= Byte.MAX_VALUE; version++) {
            byte[] other = golden("several-entries");
            other[0] = (byte) version;
            if (version == VERSION) assertNotNull(QuotaMessage.read(sealed(other)));
            else assertNull(QuotaMessage.read(sealed(other)), "version " + version);
        }
    }

    @Test
    void aMessageWithAnotherCountOfEntriesIsRejected() {
        for (int count = 0; count <= 0xff; count++) {
            byte[] other = golden("several-entries");
            other[COUNT_AT] = (byte) count;
            if (count == 3) assertNotNull(QuotaMessage.read(sealed(other)));
            else assertNull(QuotaMessage.read(sealed(other)), count + " entries");
        }
    }
}
