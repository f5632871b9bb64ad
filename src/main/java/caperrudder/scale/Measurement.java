package caperrudder.scale;

/**
 * One measured figure of a run at one size. A {@code count} comes out the same each time from the same options, seed
 * and program; what is not one depends on the machine.
 */
record Measurement(int hosts, String name, double value, String unit, boolean count) {}
