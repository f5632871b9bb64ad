package caperrudder;

import java.util.List;

/** What the decision module is told and what it can do: settings, events and actions. No decision lives here. */
public final class Gateway {
    private Gateway() {}

    /** What repeating a request of a class does. */
    public enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** The hosts that drop repeats of one key. */
    public enum Scope {
        ALL,
        ZONE,
        CELL;

        /** True where both hosts drop repeats of the same keys. */
        public boolean together(Host a, Host b) {
            return this == ALL || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    public enum HostState {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How a list of hosts is to be read: changes, all, what was held before a restart, or none (a call failed). */
    public enum ListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt, a probe or a counter call ended; SPOILT: an answer came that can't be read. */
    public enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        SPOILT;

        /** True where the outcome proves that the host never ran the request. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    public record RequestClass(
            String name,
            Effect effect,
            Scope scope,
            double windowMs,
            double aimMs,
            double deadlineMs,
            double worth,
            double lateValue,
            boolean streaming) {}

    /** A plan's quotas, for each customer over all gateways; a figure of 0 means that there is no such limit. */
    public record Plan(
            String name,
            double rate,
            double burst,
            int openLimit,
            double price,
            double overWorth,
            double overCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    public record Limits(
            int maxAttempts,
            boolean duplicates,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfterMs,
            double connectTimeoutMs) {}

    public record Rules(
            double answerSlackMs,
            double drainGraceMs,
            double fallMultiple,
            double fallMs,
            double coldFrom,
            double warmWithinMs,
            double askWithinMs) {}

    /** Where gateways may learn of each other, and what one costs. */
    public record Sharing(
            boolean counter,
            double counterPrice,
            double meterPeriodMs,
            boolean postPaid,
            double maxUnits,
            double mailPerSecond,
            double peerPrice,
            double probePrice,
            double zonePrice) {}

    public record Settings(
            long seed,
            int me,
            int gateways,
            String zone,
            boolean subscribe,
            List<RequestClass> classes,
            List<Plan> plans,
            List<String> reportNames,
            Limits limits,
            Rules rules,
            Sharing sharing) {}

    public record Host(
            String id, String zone, String kind, int cell, HostState state, double rating, double startedMs) {}

    /**
     * A request, waiting since {@code arrivedMs}: {@code spread} gateways from number {@code first} on, counted round,
     * may receive the customer. Of one that is still {@code arriving} the end is to come, and its time with it.
     */
    public record Request(
            String id,
            double deadlineMs,
            double arrivedMs,
            boolean retry,
            String requestClass,
            long customer,
            String plan,
            double units,
            int first,
            int spread,
            boolean arriving) {
        public Request(
                String id,
                double deadlineMs,
                double arrivedMs,
                boolean retry,
                String requestClass,
                long customer,
                String plan,
                double units,
                int first,
                int spread) {
            this(id, deadlineMs, arrivedMs, retry, requestClass, customer, plan, units, first, spread, false);
        }
    }

    /** How an attempt ended; {@code usedPct} is 0 and {@code trueUnits} is 0 where nothing was told. */
    public record AttemptResult(
            String id,
            int attempt,
            String host,
            Outcome outcome,
            double latencyMs,
            boolean closed,
            int usedPct,
            double trueUnits,
            double[] report) {}

    /** The hosts as a gateway judges them: how many its list holds, and how many of those it avoids now. */
    public record Cluster(int size, int unhealthy) {}

    /** What a gateway's next process is to know of its customers, hosts and classes; times are of the clock that both share. */
    public record Books(
            double at,
            double perHost,
            List<CustomerBook> customers,
            List<HealthBook> health,
            List<ClassBook> classes) {}

    /** A customer's stores and meter; {@code used} is a running total. */
    public record CustomerBook(
            long customer,
            String plan,
            int first,
            int spread,
            double level,
            double tokens,
            double store,
            double demand,
            double used,
            double useRate,
            double meterPart,
            double meterAt,
            double meterOthers) {}

    /** The health of a host, for one class or, where its name is empty, for all. */
    public record HealthBook(String host, String requestClass, double slow, double at, int failures) {}

    public record ClassBook(
            String name, double weight, double latencyPerUnit, double base, int samples, double delay, double slope) {}

    /** Everything that a gateway sees; {@code now} is the only clock, in milliseconds. */
    public interface Events {
        void start(double now, Settings settings);

        void hosts(double now, ListKind kind, List<Host> hosts);

        void request(double now, Request request);

        /** The last byte of a request that was arriving has come; its client waits from now on. */
        void requestWhole(double now, String id, double deadlineMs);

        /** A part of a request that was arriving has left for a host and is kept nowhere: it can't be sent again. */
        void requestSpent(double now, String id);

        /** The first bytes of an answer go to the client: the rest follows, or the answer breaks. */
        void streamStarted(double now, String id, int attempt);

        void attemptEnded(double now, AttemptResult result);

        void clientLeft(double now, String id);

        void timer(double now, String token);

        default void probed(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

        void peerSaid(double now, int peer, byte[] data);

        default void counted(double now, String counter, Outcome outcome, double total) {}

        /** What the process before this one knew, as of its latest word; it may go on using what both share. */
        void inherited(double now, Books books);

        /** Asks and tells nothing, as does the next. */
        Cluster cluster(double now);

        Books books(double now);
    }

    /** Everything that a gateway can do. */
    public interface Actions {
        void send(String id, String host, double timeoutMs);

        void cancel(String id, int attempt);

        void refuse(String id, double retryAfterMs);

        void fail(String id);

        void timer(double delayMs, String token);

        void probe(String host);

        void tell(int peer, byte[] data);

        void count(String counter, double amount, double lifetimeMs);

        void watchHosts();
    }
}
