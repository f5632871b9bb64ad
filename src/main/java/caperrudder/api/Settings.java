package caperrudder.api;

import java.util.List;

/**
 * The settings of one gateway.
 *
 * @param seed of all that is drawn
 * @param gatewayIndex this gateway's number, from 0
 * @param gatewayCount how many gateways there are
 * @param zone this gateway's zone; empty where there are no zones
 * @param subscribesToHosts whether the list of hosts comes only to those who ask for it
 * @param classes the classes of requests
 * @param plans the customers' plans
 * @param loadReportFields the names of a load report's values, in their order
 * @param limits what the site permits
 * @param rules times and multiples of the hosts' and the clients' rules
 * @param sharing how gateways may learn of each other
 */
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
