package caperrudder.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Hosts in the order of a key and, where keys are equal, of their ids: an order-statistics list. It is kept in blocks,
 * so that one more or less moves the hosts of one block, and a host is found by its id or by its rank in the
 * logarithm of their number. Its keys stand in arrays of numbers, which costs some 12 bytes a host.
 */
final class RankedEndpoints {
    private static final int BLOCK = 256;

    private Block[] blocks = {new Block(4)};
    private int[] firstKeys = new int[1]; // of each block: its first host's key
    private int[] before = new int[1]; // of each block: how many hosts stand in those before it
    private int used = 1; // blocks
    private int size;
    long touched; // hosts compared, copied or visited up to now: what the look-ups cost

    private static final class Block {
        private int[] keys;
        private Endpoint[] hosts;
        private int size;

        Block(int room) {
            keys = new int[room];
            hosts = new Endpoint[room];
        }

        private boolean before(int i, int key, String id) {
            return keys[i] < key || keys[i] == key && hosts[i].id().compareTo(id) < 0;
        }

        private void insert(int i, int key, Endpoint s) {
            if (size == keys.length) {
                int room = Math.min(BLOCK, 2 * size);
                keys = Arrays.copyOf(keys, room);
                hosts = Arrays.copyOf(hosts, room);
            }
            System.arraycopy(keys, i, keys, i + 1, size - i);
            System.arraycopy(hosts, i, hosts, i + 1, size - i);
            keys[i] = key;
            hosts[i] = s;
            size++;
        }

        private void delete(int i) {
            size--;
            System.arraycopy(keys, i + 1, keys, i, size - i);
            System.arraycopy(hosts, i + 1, hosts, i, size - i);
            hosts[size] = null;
        }

        /** Gives its upper half to a new block. */
        private Block split() {
            int half = size / 2;
            Block upper = new Block(BLOCK);
            upper.size = size - half;
            System.arraycopy(keys, half, upper.keys, 0, upper.size);
            System.arraycopy(hosts, half, upper.hosts, 0, upper.size);
            Arrays.fill(hosts, half, size, null);
            size = half;
            return upper;
        }
    }

    int size() {
        return size;
    }

    /** The host of this id, or null. */
    Endpoint find(int key, String id) {
        Block b = blocks[blockOf(key, id)];
        int i = placeIn(b, key, id);
        return i < b.size && b.keys[i] == key && b.hosts[i].id().equals(id) ? b.hosts[i] : null;
    }

    /** Takes in a host whose id is not in the list yet. */
    void add(int key, Endpoint s) {
        int at = blockOf(key, s.id());
        Block b = blocks[at];
        b.insert(placeIn(b, key, s.id()), key, s);
        firstKeys[at] = b.keys[0];
        moveFrom(at + 1, 1);
        size++;
        if (b.size < BLOCK) return;
        Block upper = b.split();
        if (used == blocks.length) {
            blocks = Arrays.copyOf(blocks, 2 * used);
            firstKeys = Arrays.copyOf(firstKeys, 2 * used);
            before = Arrays.copyOf(before, 2 * used);
        }
        shift(at + 1, at + 2);
        used++;
        blocks[at + 1] = upper;
        firstKeys[at + 1] = upper.keys[0];
        before[at + 1] = before[at] + b.size;
    }

    /** Drops the host of this one's id, if it is in the list. */
    void remove(int key, Endpoint s) {
        int at = blockOf(key, s.id());
        Block b = blocks[at];
        int i = placeIn(b, key, s.id());
        if (i == b.size || b.hosts[i] != s) return;
        b.delete(i);
        moveFrom(at + 1, -1);
        size--;
        if (b.size > 0) firstKeys[at] = b.keys[0];
        if (b.size > 0 || used == 1) return;
        shift(at + 1, at);
        blocks[--used] = null;
    }

    /** How many hosts have a smaller key. */
    int rank(int key) {
        int at = blockOf(key, ""); // no id is less
        return before[at] + placeIn(blocks[at], key, "");
    }

    Endpoint at(int rank) {
        int at = blockAt(rank);
        touched++;
        return blocks[at].hosts[rank - before[at]];
    }

    /** Adds the hosts of this rank and the following ones to a list, {@code count} in all, or up to the last. */
    void copy(int rank, int count, List<Endpoint> to) {
        int at = blockAt(rank);
        int left = count;
        for (int i = rank - before[at]; left > 0 && at < used; at++, i = 0) {
            Block b = blocks[at];
            for (; i < b.size && left > 0; i++, left--) to.add(b.hosts[i]);
        }
        touched += count - left;
    }

    void forEach(Consumer<Endpoint> action) {
        for (int at = 0; at < used; at++) {
            for (int i = 0; i < blocks[at].size; i++) action.accept(blocks[at].hosts[i]);
        }
        touched += size;
    }

    private int blockAt(int rank) {
        int at = Arrays.binarySearch(before, 0, used, rank);
        return at < 0 ? -at - 2 : at;
    }

    /** The last block that begins with this host or one before it, or the first block. */
    private int blockOf(int key, String id) {
        int low = 0;
        int high = used - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            boolean before = firstKeys[middle] < key
                    || firstKeys[middle] == key && blocks[middle].hosts[0].id().compareTo(id) <= 0;
            if (before) low = middle;
            else high = middle - 1;
            touched++;
        }
        return low;
    }

    private int placeIn(Block b, int key, String id) {
        int low = 0;
        int high = b.size;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (b.before(middle, key, id)) low = middle + 1;
            else high = middle;
            touched++;
        }
        return low;
    }

    private void moveFrom(int at, int by) {
        for (int i = at; i < used; i++) before[i] += by;
    }

    private void shift(int from, int to) {
        System.arraycopy(blocks, from, blocks, to, used - from);
        System.arraycopy(firstKeys, from, firstKeys, to, used - from);
        System.arraycopy(before, from, before, to, used - from);
    }
}
