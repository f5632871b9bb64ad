package caperrudder.api;

import java.util.List;

public record Settings(
        long seed,
        int gatewayIndex,
        int gatewayCount,
        String zone,
        boolean subscribesToHosts,
        List<RequestClass> classes,
        List<Plan> plans,
        List<String> loadReportFields,
        Limits limits,
        Rules rules,
        Sharing sharing) {}
