package caperrudder.server.upstream;

import caperrudder.server.http.RequestBody;
import io.netty.handler.codec.http.HttpRequest;

/** A client's request as it is sent to hosts. */
public interface ForwardedRequest {
    String id();

    /** Method, path and headers as they came. */
    HttpRequest head();

    RequestBody body();

    /** For how many milliseconds a host's response is waited for, at least 1. */
    double timeLeftMs(double nowMs);
}
