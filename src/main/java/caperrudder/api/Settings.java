package caperrudder.api;

import java.util.List;

/**
 * The settings of one gateway.
 *
 * @param seed seed of the random number generator
 * @param gatewayIndex index of this gateway, from 0
 * @param gatewayCount number of gateways
 * @param zone name of this gateway's zone; empty if there are no zones
 * @param subscribesToHosts whether the gateway must subscribe to the list of hosts; if false, discovery sends it
 *     unasked
 * @param classes the classes of requests
 * @param plans the customers' plans
 * @param loadReportFields names of the values in a load report, in their order; empty if hosts send no load reports
 * @param limits the actions that the site permits, and their limits
 * @param rules rules of the site about hosts, clients and discovery
 * @param coordination how gateways learn of each other's use, and the prices of their actions
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
        SiteLimits limits,
        SiteRules rules,
        CoordinationSettings coordination) {}
