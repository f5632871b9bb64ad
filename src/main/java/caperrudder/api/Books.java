package caperrudder.api;

import java.util.List;

/** What a gateway's next process is to know of its customers, hosts and classes; times are of the clock that both share. */
public record Books(
        double at, double perHost, List<CustomerBook> customers, List<HealthBook> health, List<ClassBook> classes) {}
