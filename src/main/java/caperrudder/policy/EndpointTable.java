package caperrudder.policy;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The hosts of a gateway's list: plain data and look-ups, no decision. What a change costs follows what it changes,
 * not how many hosts there are; only a whole list, and its end, visit all.
 */
final class EndpointTable {
    private final boolean mixed;
    private final RankedEndpoints all = new RankedEndpoints();
    private final RankedEndpoints open = new RankedEndpoints();
    private final Map<String, Map<Integer, RankedEndpoints>> places = new TreeMap<>(); // the open ones by zone and cell
    private final Set<Endpoint> unlisted = new LinkedHashSet<>();
    private int listed;
    private List<Endpoint> run = List.of(); // as last asked for
    private Arc arc; // that it fills, or null
    private boolean runChanged;

    /** A part of the range of keys, from one to before another, counted round; and how many hosts it has at least. */
    private record Arc(int from, int to, int least) {
        boolean holds(int key) {
            return from < to ? key >= from && key < to : key >= from || key < to;
        }
    }

    /** With {@code mixed} keys the hosts stand evenly in the whole range of them, whatever their ids are like. */
    EndpointTable(boolean mixed) {
        this.mixed = mixed;
    }

    private int key(String id) {
        int h = id.hashCode();
        if (!mixed) return h;
        h = (h ^ h >>> 16) * 0x85EBCA6B;
        h = (h ^ h >>> 13) * 0xC2B2AE35;
        return h ^ h >>> 16;
    }

    /** The host of this id, be it listed or not, or null. */
    Endpoint find(String id) {
        return all.find(key(id), id);
    }

    /** From here to {@link #endList} each host counts as unlisted until it is told. */
    void beginList() {
        all.forEach(s -> s.setListed(false));
        listed = 0;
    }

    /** Takes the last word told of a host. */
    Endpoint put(Host h) {
        int key = key(h.id());
        Endpoint s = all.find(key, h.id());
        if (s == null) {
            s = new Endpoint(h);
            all.add(key, s);
        }
        if (s.isIndexed() && !DeduplicationScope.CELL.isSharedBy(s.host(), h)) close(s); // it changes its zone or cell
        s.updateHost(h);
        listed += (h.state() != HostState.GONE ? 1 : 0) - (s.isListed() ? 1 : 0);
        s.setListed(h.state() != HostState.GONE);
        note(s);
        return s;
    }

    void endList() {
        all.forEach(this::note);
    }

    private void note(Endpoint s) {
        if (!s.isListed()) unlisted.add(s);
        else if (!unlisted.isEmpty()) unlisted.remove(s);
        if (s.isUsable() == s.isIndexed()) return;
        if (s.isIndexed()) {
            close(s);
            return;
        }
        s.setIndexed(true);
        int key = key(s.host().id());
        open.add(key, s);
        places.computeIfAbsent(s.host().zone(), z -> new TreeMap<>())
                .computeIfAbsent(s.host().cell(), c -> new RankedEndpoints())
                .add(key, s);
        runChanged |= withinRun(key, s.host().id());
    }

    private void close(Endpoint s) {
        s.setIndexed(false);
        int key = key(s.host().id());
        runChanged |= withinRun(key, s.host().id());
        open.remove(key, s);
        Map<Integer, RankedEndpoints> zone = places.get(s.host().zone());
        RankedEndpoints cell = zone.get(s.host().cell());
        cell.remove(key, s);
        if (cell.size() == 0) zone.remove(s.host().cell());
        if (zone.isEmpty()) places.remove(s.host().zone());
    }

    /** True where a host that stands here in the order would be one of the last run, or stand in its arc. */
    private boolean withinRun(int key, String id) {
        if (run.isEmpty() || arc != null && arc.holds(key)) return true;
        boolean fromFirst = order(key, id, run.get(0)) >= 0;
        boolean toLast = order(key, id, run.get(run.size() - 1)) <= 0;
        return order(key(run.get(0).host().id()), run.get(0).host().id(), run.get(run.size() - 1)) <= 0
                ? fromFirst && toLast
                : fromFirst || toLast;
    }

    private int order(int key, String id, Endpoint other) {
        int byKey = Integer.compare(key, key(other.host().id()));
        return byKey != 0 ? byKey : id.compareTo(other.host().id());
    }

    /** Forgets the hosts that are no longer listed and hold nothing. */
    void removeUnlisted(Consumer<Endpoint> onRemoval) {
        unlisted.removeIf(s -> {
            if (!s.isIdle()) return false;
            all.remove(key(s.host().id()), s);
            onRemoval.accept(s);
            return true;
        });
    }

    /** Hosts that a list holds, whatever their state. */
    int listed() {
        return listed;
    }

    /** Hosts that may be used. */
    int openCount() {
        return open.size();
    }

    /** Hosts that a list holds and that may not be used. */
    int drained() {
        return listed - open.size();
    }

    /**
     * The open hosts whose keys lie in {@code parts} of the {@code of} equal parts of their range from this one on,
     * counted round; where these are fewer than {@code least}, the next ones too; not to be changed.
     */
    List<Endpoint> arc(int part, int parts, int of, int least) {
        Arc wanted = new Arc(border(part, of), border(part + parts, of), least);
        if (!runChanged && wanted.equals(arc) && run.size() >= least) return run;
        arc = wanted;
        int size = open.size();
        int from = open.rank(arc.from);
        int count = Math.floorMod(open.rank(arc.to) - from, Math.max(1, size));
        return runOf(from, Math.min(size, Math.max(least, count)));
    }

    private static int border(int part, int of) {
        return (int) (Integer.MIN_VALUE + ((long) (part % of) << Integer.SIZE) / of);
    }

    /** The open hosts from this rank on in the order of their keys, counted round; not to be changed. */
    List<Endpoint> run(int rank, int count) {
        arc = null;
        boolean same = !runChanged && count == run.size() && (count == 0 || run.get(0) == open.at(rank % open.size()));
        return same ? run : runOf(rank, count);
    }

    private List<Endpoint> runOf(int rank, int count) {
        run = List.copyOf(round(List.of(open), rank, count));
        runChanged = false;
        return run;
    }

    /** Of some hosts the one that started last, or null. */
    static Endpoint lastStarted(List<Endpoint> some) {
        Endpoint last = null;
        for (Endpoint s : some) {
            if (last == null || s.startedAtMs() > last.startedAtMs()) last = s;
        }
        return last;
    }

    /** The open hosts that drop repeats together with this one; of all hosts, it may be null. */
    Collection<RankedEndpoints> open(Host with, DeduplicationScope scope) {
        if (scope == DeduplicationScope.ALL) return List.of(open);
        Map<Integer, RankedEndpoints> zone = places.getOrDefault(with.zone(), Map.of());
        if (scope == DeduplicationScope.ZONE) return zone.values();
        RankedEndpoints cell = zone.get(with.cell());
        return cell == null ? List.of() : List.of(cell);
    }

    /** So many hosts of these from this rank in all of them on, counted round. */
    static List<Endpoint> round(Collection<RankedEndpoints> parts, int rank, int count) {
        List<Endpoint> some = new ArrayList<>(count);
        copy(parts, rank, count, some);
        copy(parts, 0, count - some.size(), some);
        return some;
    }

    private static void copy(Collection<RankedEndpoints> parts, int rank, int count, List<Endpoint> to) {
        int skip = rank;
        int end = to.size() + count;
        for (RankedEndpoints part : parts) {
            if (to.size() == end) return;
            if (skip < part.size()) part.copy(skip, end - to.size(), to);
            skip = Math.max(0, skip - part.size());
        }
    }

    /** Hosts compared, copied or visited up to now: what the look-ups cost. */
    long touched() {
        return all.touched
                + open.touched
                + places.values().stream()
                        .flatMap(zone -> zone.values().stream())
                        .mapToLong(cell -> cell.touched)
                        .sum();
    }
}
