package caperrudder.server.discovery;

import java.io.IOException;

/** An endpoint list takes more memory than there is for it; the message says how much. */
public final class EndpointListTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    EndpointListTooLongException(String message) {
        super(message);
    }
}
