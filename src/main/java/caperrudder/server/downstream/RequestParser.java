package caperrudder.server.downstream;

import caperrudder.api.Idempotency;
import caperrudder.api.Plan;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.server.http.HeaderValues;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads what a request says of itself and holds it against the settings. All of it comes from a stranger, and the
 * policy reckons with it: units, replica sets and times that cannot be would spoil the quota of a customer who never
 * sent them.
 */
final class RequestParser {
    private static final double RESPONSE_MARGIN_MS = 20; // the response must reach the client within its time
    private static final int HEX = 16;
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_END = 1L << 33;
    private static final long NO_CUSTOMER = -1;
    private static final int NAME_LENGTH_MAX = 64; // characters of an id or an idempotency key
    private static final String[] NO_FIELDS = {};

    private final Settings settings;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();

    RequestParser(Settings settings) {
        this.settings = settings;
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    /**
     * The request as the policy knows it. Its client has been waiting since it arrived, however late it is read.
     *
     * @param nowMs the time of the reading
     * @param arrivedAtMs when it arrived
     * @return null where the request lacks or has malformed what it must say; one object less for each request
     */
    Request parse(HttpRequest message, RequestBody body, double nowMs, double arrivedAtMs) {
        HttpHeaders headers = message.headers();
        RequestClass requestClass = classes.get(firstSegment(message.uri()));
        String plan = headers.get(RequestHeaders.PLAN);
        String id = headers.get(RequestHeaders.TRACE_ID);
        long customer = parseCustomer(headers.get(RequestHeaders.CUSTOMER));
        double expiresInMs = HeaderValues.parseNumber(headers.get(RequestHeaders.EXPIRES_IN_MS), false);
        if (requestClass == null
                || !plans.containsKey(plan)
                || !isName(id)
                || customer < 0
                || expiresInMs <= 0
                || !fits(requestClass, message, body)) {
            return null;
        }
        String quota = headers.get(RequestHeaders.QUOTA);
        double units = parseField(quota, "units", true);
        double replicaCount = parseField(quota, "spread", false);
        double firstReplica = parseField(quota, "first", false);
        if (!isPossible(units, replicaCount, firstReplica)) {
            return null;
        }
        double waitsMs = Math.min(expiresInMs, requestClass.clientTimeoutMs()); // no client of this class waits longer
        return new Request(
                id,
                Math.max(nowMs + 1, arrivedAtMs + waitsMs - RESPONSE_MARGIN_MS),
                arrivedAtMs,
                headers.contains(RequestHeaders.CLIENT_RETRY),
                requestClass.name(),
                customer,
                plan,
                units,
                (int) firstReplica,
                (int) replicaCount,
                !body.isComplete());
    }

    /**
     * Whether the units fit the settings and the replica set holds this gateway: in any other it would ask owners
     * that must not answer.
     */
    private boolean isPossible(double units, double replicaCount, double firstReplica) {
        int gateways = settings.gatewayCount();
        return units > 0
                && units <= settings.coordination().maxUnits()
                && replicaCount >= 1
                && replicaCount <= gateways
                && firstReplica >= 0
                && firstReplica < gateways
                && Math.floorMod(settings.gatewayIndex() - (int) firstReplica, gateways) < replicaCount;
    }

    /** The method and the key of the class; what is idempotent has no body, and none may be sent on with it. */
    private static boolean fits(RequestClass requestClass, HttpRequest message, RequestBody body) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return message.method().equals(HttpMethod.GET)
                    && body.isEmpty()
                    && !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        }
        return message.method().equals(HttpMethod.POST)
                && (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                        || isName(message.headers().get(RequestHeaders.IDEMPOTENCY_KEY)));
    }

    private static boolean isName(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= NAME_LENGTH_MAX
                && HeaderValues.isWithin(text, '!', '~');
    }

    private static long parseCustomer(String text) {
        if (text == null || text.length() != CUSTOMER_DIGITS) {
            return NO_CUSTOMER;
        }
        long number = 0;
        for (int i = 0; i < CUSTOMER_DIGITS; i++) {
            int digit = text.charAt(i) <= '~' ? Character.digit(text.charAt(i), HEX) : -1;
            if (digit < 0 || number >= CUSTOMER_END) {
                return NO_CUSTOMER;
            }
            number = number * HEX + digit;
        }
        return number < CUSTOMER_END ? number : NO_CUSTOMER;
    }

    /** The value of a field that the list names once; others may stand beside it, as a later version may say more. */
    private static double parseField(String list, String name, boolean fractionAllowed) {
        double value = HeaderValues.ABSENT;
        for (String part : list == null ? NO_FIELDS : list.split(",", -1)) {
            int equals = part.indexOf('=');
            if (equals >= 0 && part.substring(0, equals).trim().equals(name)) {
                if (value != HeaderValues.ABSENT) {
                    return HeaderValues.ABSENT;
                }
                value = HeaderValues.parseNumber(part.substring(equals + 1).trim(), fractionAllowed);
                if (value < 0) {
                    return HeaderValues.ABSENT;
                }
            }
        }
        return value;
    }

    /** The first part of the path, which names the class; empty where there is none. */
    private static String firstSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.length() < 2 || uri.charAt(0) != '/' ? "" : uri.substring(1, end);
    }
}
