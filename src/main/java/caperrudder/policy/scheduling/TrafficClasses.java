package caperrudder.policy.scheduling;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The traffic classes of a gateway, by name and in the order of the settings. Confined to the policy's thread. */
public final class TrafficClasses {
    /** An empty set of classes, used until the settings are known. */
    public static final TrafficClasses NONE = new TrafficClasses();

    private final Map<String, TrafficClass> byName = new LinkedHashMap<>();
    private final List<TrafficClass> all;

    private TrafficClasses() {
        all = List.of();
    }

    /** Creates the classes of the settings, with initial weights in proportion to their priority weights. */
    public TrafficClasses(Settings settings) {
        double prioritySum = settings.classes().stream()
                .mapToDouble(TrafficClasses::priority)
                .sum();
        for (RequestClass requestClass : settings.classes()) {
            double share = priority(requestClass) / prioritySum;
            byName.put(
                    requestClass.name(),
                    new TrafficClass(
                            requestClass, share, settings.coordination().maxUnits()));
        }
        all = List.copyOf(byName.values());
    }

    private static double priority(RequestClass requestClass) {
        return Math.max(ClassWeight.MIN_WEIGHT, requestClass.priorityWeight());
    }

    /** Returns the class of this name, or null if the settings do not define it. */
    public TrafficClass find(String name) {
        return byName.get(name);
    }

    /** Returns the classes in the order of the settings, unmodifiable. */
    public List<TrafficClass> all() {
        return all;
    }

    /** Whether the latency of any attempt has been recorded. */
    public boolean hasSamples() {
        for (TrafficClass trafficClass : all) {
            if (trafficClass.latencyEstimate().sampleCount() > 0) return true;
        }
        return false;
    }

    /** Returns the statistics of all classes for the successor, in the order of the settings. */
    public List<ClassSnapshot> snapshot() {
        return all.stream().map(TrafficClass::snapshot).toList();
    }

    /**
     * Restores the statistics that the predecessor saved. Does nothing if its classes differ from those of the settings
     * in name or order, because the saved weights sum to one only over all of them.
     */
    public void restore(List<ClassSnapshot> snapshots) {
        List<String> names = snapshots.stream().map(ClassSnapshot::name).toList();
        if (!names.equals(new ArrayList<>(byName.keySet()))) return;
        for (ClassSnapshot snapshot : snapshots) {
            byName.get(snapshot.name()).restore(snapshot);
        }
    }
}
