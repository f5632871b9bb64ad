package caperrudder.api;

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
