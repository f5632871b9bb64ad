package caperrudder.api;

import java.util.List;

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
