package caperrudder.policy.scheduling;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The traffic classes of a gateway, in the order of its settings and by name. Confined to the policy's thread. */
public final class TrafficClasses {
    /** No classes at all, as before the settings are known: no request's class can be found. */
    public static final TrafficClasses NONE = new TrafficClasses();

    private final Map<String, TrafficClass> byName = new LinkedHashMap<>();
    private final List<TrafficClass> all;

    private TrafficClasses() {
        all = List.of();
    }

    /** The classes of the settings, weighted by their priority. */
    public TrafficClasses(Settings settings) {
        double sum = settings.classes().stream()
                .mapToDouble(TrafficClasses::priority)
                .sum();
        for (RequestClass spec : settings.classes()) {
            double share = priority(spec) / sum;
            byName.put(
                    spec.name(),
                    new TrafficClass(spec, share, settings.sharing().maxUnits()));
        }
        all = List.copyOf(byName.values());
    }

    private static double priority(RequestClass spec) {
        return Math.max(ClassWeight.MIN, spec.priorityWeight());
    }

    /** The class of this name, or null where the settings do not name it. */
    public TrafficClass find(String name) {
        return byName.get(name);
    }

    /** In the order of the settings; not to be changed. */
    public List<TrafficClass> all() {
        return all;
    }

    /** Whether any attempt has succeeded yet, so that there is something learned to keep. */
    public boolean haveSamples() {
        for (TrafficClass trafficClass : all) {
            if (trafficClass.latency().samples() > 0) return true;
        }
        return false;
    }

    /** What the gateway's next process is to know, in the order of the settings. */
    public List<ClassSnapshot> snapshot() {
        return all.stream().map(TrafficClass::snapshot).toList();
    }

    /** Takes over what the process before had learned. Weights hold for all classes or for none. */
    public void restore(List<ClassSnapshot> snapshots) {
        List<String> named = snapshots.stream().map(ClassSnapshot::name).toList();
        if (!named.equals(new ArrayList<>(byName.keySet()))) return;
        for (ClassSnapshot snapshot : snapshots) {
            byName.get(snapshot.name()).restore(snapshot);
        }
    }
}
