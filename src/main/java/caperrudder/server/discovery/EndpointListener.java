package caperrudder.server.discovery;

import caperrudder.api.HostListKind;
import java.util.List;

/** Is notified of the endpoints that discovery lists. On the event loop. */
public interface EndpointListener {
    /** Whether any host is listed now. */
    boolean hasEndpoints();

    /**
     * Discovery has listed endpoints.
     *
     * @param kind {@link HostListKind#FULL}, where hosts that are not named are gone, or {@link HostListKind#CHANGES}
     */
    void endpointsUpdated(HostListKind kind, List<EndpointList.Entry> entries);
}
