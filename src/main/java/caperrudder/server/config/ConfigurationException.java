package caperrudder.server.config;

/** A configuration that can't be used: what is wrong with it and where. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String source;

    ConfigurationException(String source, String problem) {
        super(source + ": " + problem);
        this.source = source;
    }

    /** The file or the environment variable that is at fault. */
    public String source() {
        return source;
    }
}
