package caperrudder.scale;

/**
 * One value measured at one size.
 *
 * @param hosts the hosts in discovery's list
 * @param name what was measured, as printed
 * @param value in the unit
 * @param unit as printed
 * @param deterministic whether the same options, seed and program give the same value on any machine
 */
record Measurement(int hosts, String name, double value, String unit, boolean deterministic) {}
